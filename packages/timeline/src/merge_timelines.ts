import type {TimelineEntry} from './timeline_entry.js';

/**
 * Merges the events of several hosts into one list in causal order. Events with
 * equal times are ordered by host, incarnation and sequence number. Duplicates
 * are removed, so pages may overlap.
 */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEntry[])[],
): TimelineEntry[] {
  const sorted = timelines.flat().sort(compareEntries);
  return sorted.filter((entry, i) => {
    const previous = sorted[i - 1];
    return previous === undefined || compareEntries(previous, entry) !== 0;
  });
}

function compareEntries(a: TimelineEntry, b: TimelineEntry): number {
  return (
    a.timeMs - b.timeMs ||
    a.counter - b.counter ||
    compareText(a.host, b.host) ||
    compareText(a.incarnation, b.incarnation) ||
    a.sequence - b.sequence
  );
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
