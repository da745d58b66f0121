import {setColdTime} from './set_cold_time.js';
import type {UpstreamEntry} from './upstream_entry.js';

/**
 * Until when each upstream is cold by what its newest entry states. The time counts
 * from when the entry was read first, so that a host that learns of it later from
 * another one does not count it anew.
 */
export class ColdTimes {
  private readonly untilMs = new Map<string, number>();

  /**
   * Applies an entry that was read.
   *
   * @param known What was known of the upstream before.
   * @param mayBeOld Whether the entry may be older than what is known; it shortens
   *     nothing then.
   */
  record(
    entry: UpstreamEntry,
    known: UpstreamEntry | undefined,
    nowMs: number,
    mayBeOld: boolean,
  ): void {
    const {id, coldRemainingMs = 0} = entry;
    const untilMs = nowMs + coldRemainingMs;
    const knownMs = this.untilMs.get(id) ?? -Infinity;
    if (known !== undefined && isSameWrite(known, entry)) return;
    if (!mayBeOld || untilMs > knownMs) this.set(id, untilMs, nowMs);
  }

  /** Returns an entry with the cold time that is left, which is never too short. */
  age(entry: UpstreamEntry, nowMs: number): UpstreamEntry {
    return setColdTime(entry, (this.untilMs.get(entry.id) ?? 0) - nowMs);
  }

  private set(id: string, untilMs: number, nowMs: number): void {
    if (untilMs > nowMs) this.untilMs.set(id, untilMs);
    else this.untilMs.delete(id);
    // Also of upstreams that are no longer listed.
    for (const [other, endMs] of this.untilMs) {
      if (endMs <= nowMs) this.untilMs.delete(other);
    }
  }
}

/** Whether two entries are the same write, of which one may have aged. */
function isSameWrite(left: UpstreamEntry, right: UpstreamEntry): boolean {
  if (left.revision !== right.revision) return false;
  if (left.revision !== undefined) return true;
  return (
    left.coldRemainingMs === right.coldRemainingMs &&
    left.bornMs === right.bornMs
  );
}
