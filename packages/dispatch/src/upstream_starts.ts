import {UpstreamStage, type UpstreamEntry} from '@parsleywood/forwarding';
import {PaceReason} from './pace_reason.js';
import type {UpstreamStart} from './upstream_start.js';

/**
 * Time for which an upstream that left is remembered, in milliseconds. After an outage
 * or a restore of the store, entries are listed again without a start.
 */
const MEMORY_MS = 60_000;

interface KnownUpstream {
  entry: UpstreamEntry;
  coldUntilMs: number;
  seenAtMs: number;
}

/**
 * Finds, in the lists of upstreams, those that have started or are cold. Load pattern:
 * upstreams are replaced one after the other, beside entries that lapse and return.
 */
export class UpstreamStarts {
  private readonly known = new Map<string, KnownUpstream>();
  private hasList = false;

  /**
   * Compares a list with those before. Upstreams of the first one count as warm unless
   * their entry says otherwise.
   *
   * @param getColdMs Returns for how long an upstream is cold after a start.
   */
  observe(
    entries: readonly UpstreamEntry[],
    getColdMs: (entry: UpstreamEntry) => number,
    nowMs: number,
  ): UpstreamStart[] {
    const starts = entries.flatMap(
      entry => this.compare(entry, getColdMs, nowMs) ?? [],
    );
    this.hasList = true;
    for (const [id, {seenAtMs}] of this.known) {
      if (nowMs - seenAtMs > MEMORY_MS) this.known.delete(id);
    }
    return starts;
  }

  private compare(
    entry: UpstreamEntry,
    getColdMs: (entry: UpstreamEntry) => number,
    nowMs: number,
  ): UpstreamStart | undefined {
    const known = this.known.get(entry.id);
    const knownUntilMs = known?.coldUntilMs ?? -Infinity;
    const hasStarted = known
      ? isBornLater(entry, known.entry)
      : this.hasList &&
        entry.stage === UpstreamStage.READY &&
        // One that says that it is warm was listed before this host looked.
        entry.coldRemainingMs !== 0;
    // A list read again does not prolong what an entry said when it was new.
    const saysNew = known === undefined || !isSameWrite(entry, known.entry);
    const saidMs = saysNew ? (entry.coldRemainingMs ?? 0) : 0;
    const startMs = hasStarted ? getColdMs(entry) : 0;
    const coldUntilMs = Math.max(knownUntilMs, nowMs + saidMs, nowMs + startMs);
    this.known.set(entry.id, {entry, coldUntilMs, seenAtMs: nowMs});
    const becomesCold = coldUntilMs > nowMs && knownUntilMs <= nowMs;
    if (hasStarted) return {entry, reason: PaceReason.STARTED, coldUntilMs};
    if (becomesCold) return {entry, reason: PaceReason.COLD, coldUntilMs};
    return coldUntilMs > Math.max(knownUntilMs, nowMs)
      ? {entry, coldUntilMs}
      : undefined;
  }
}

function isBornLater(entry: UpstreamEntry, known: UpstreamEntry): boolean {
  const {bornMs} = entry;
  return (
    bornMs !== undefined && known.bornMs !== undefined && bornMs > known.bornMs
  );
}

function isSameWrite(entry: UpstreamEntry, known: UpstreamEntry): boolean {
  if (entry === known) return true;
  return entry.revision !== undefined && entry.revision === known.revision;
}
