import type {ValueEntry} from './value_entry.js';

const LIST_KEYS = /^(hosts|upstreams)\//;
const ENTRIES_KEPT = 64;

interface StoredEntry extends ValueEntry {
  readonly visibleAtMs: number;
}

/** Published values with a store-wide revision. */
export class ValueStore {
  /** Delay of lists, in milliseconds. */
  listDelayMs = 0;

  private readonly entries = new Map<string, StoredEntry[]>();
  private revision = 0;
  private lastRevision = Infinity;

  /** Publishes a value and returns its revision. */
  put(key: string, value: unknown, nowMs: number): number {
    this.revision++;
    const delayMs = LIST_KEYS.test(key) ? this.listDelayMs : 0;
    const entries = this.entries.get(key) ?? [];
    const visibleAtMs = nowMs + delayMs;
    entries.push({key, revision: this.revision, value, visibleAtMs});
    if (entries.length > ENTRIES_KEPT) entries.shift();
    this.entries.set(key, entries);
    return this.revision;
  }

  /** Reads the last visible value. */
  read(key: string, nowMs: number): ValueEntry | undefined {
    const entry = this.entries
      .get(key)
      ?.findLast(
        ({revision, visibleAtMs}) =>
          revision <= this.lastRevision && visibleAtMs <= nowMs,
      );
    if (!entry) return undefined;
    const {revision, value} = entry;
    return {key, revision, value};
  }

  /** Hides, or shows again, the values published from now on. */
  setStale(stale: boolean): void {
    this.lastRevision = stale ? this.revision : Infinity;
  }
}
