import {Departures} from './departures.js';
import {LeavingUpstreams} from './leaving_upstreams.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

/**
 * How long an upstream is still used after its entry may have expired. No work
 * may reach a stopped upstream later than 2 s after it left; the margin below
 * that bound covers the time that a request needs to arrive.
 */
const EXPIRY_GRACE_MS = 1_500;
/**
 * How long an upstream is still used that a copy of the store does not have. Live
 * upstreams are listed again about 2 s after the store is back.
 */
const RESTORE_GRACE_MS = 2_300;

/**
 * The upstreams that may receive new work. An entry that expires while the
 * store is unavailable may belong to a live upstream, so it stays usable for a
 * short time.
 */
export class UpstreamRegistry {
  readonly leaving = new LeavingUpstreams();
  private readonly entries = new Map<string, UpstreamEntry>();
  private readonly expired = new Map<
    string,
    {entry: UpstreamEntry; untilMs: number}
  >();
  private readonly departures = new Departures();

  list(): UpstreamEntry[] {
    return [...this.entries.values()];
  }

  find(id: string): UpstreamEntry | undefined {
    return this.entries.get(id);
  }

  /** Upstreams of a service that may receive new work. */
  usable(service: string, nowMs: number): UpstreamEntry[] {
    const expired = [...this.expired.values()]
      .filter(({untilMs}) => untilMs > nowMs)
      .map(({entry}) => entry);
    return [...this.entries.values(), ...expired].filter(
      entry =>
        entry.service === service &&
        entry.stage === UpstreamStage.READY &&
        !this.departures.isHeld(entry.id, nowMs) &&
        !this.leaving.has(entry),
    );
  }

  replace(
    entries: readonly UpstreamEntry[],
    nowMs: number,
    mayHaveExpired: boolean,
  ): void {
    this.removeOthers(entries, nowMs, () =>
      mayHaveExpired ? EXPIRY_GRACE_MS : 0,
    );
    for (const entry of entries) {
      this.put(entry);
      if (entry.stage === UpstreamStage.READY) {
        this.departures.forgetUnlessHeld(entry.id);
      } else this.departures.record(entry.id, nowMs);
    }
  }

  /**
   * Replaces the list by that of a store that came back from a copy. It may lack
   * upstreams that have started since, and list some that have left.
   */
  rebase(entries: readonly UpstreamEntry[], nowMs: number): void {
    const copied = this.findCopiedRevision(entries);
    this.removeOthers(entries, nowMs, ({revision = 0}) =>
      revision <= copied ? 0 : RESTORE_GRACE_MS,
    );
    this.departures.hold(nowMs);
    for (const entry of entries) {
      this.put(entry);
      if (entry.stage !== UpstreamStage.READY) {
        this.departures.record(entry.id, nowMs);
      }
    }
  }

  /** Applies a change of an entry. */
  write(entry: UpstreamEntry, nowMs: number): void {
    this.put(entry);
    if (entry.stage === UpstreamStage.READY) this.departures.forget(entry.id);
    else this.departures.record(entry.id, nowMs);
  }

  /** @param mayHaveExpired Whether the store was unavailable recently. */
  remove(id: string, nowMs: number, mayHaveExpired: boolean): void {
    this.removeEntry(id, nowMs, mayHaveExpired ? EXPIRY_GRACE_MS : 0);
  }

  /**
   * Removes an upstream after its address reported another id or that it
   * stopped.
   */
  evict(id: string, nowMs: number): void {
    this.entries.delete(id);
    this.expired.delete(id);
    this.departures.record(id, nowMs);
  }

  /**
   * Returns a revision that the copy has: the latest at which an entry was written
   * that the list still has. What was written until then and is missing was removed.
   */
  private findCopiedRevision(entries: readonly UpstreamEntry[]): number {
    const unchanged = entries.filter(
      ({id, revision}) => this.entries.get(id)?.revision === revision,
    );
    return Math.max(...unchanged.map(({revision = -1}) => revision), -1);
  }

  private removeOthers(
    entries: readonly UpstreamEntry[],
    nowMs: number,
    chooseGraceMs: (entry: UpstreamEntry) => number,
  ): void {
    const kept = new Set(entries.map(({id}) => id));
    for (const entry of [...this.entries.values()]) {
      if (kept.has(entry.id)) continue;
      this.removeEntry(entry.id, nowMs, chooseGraceMs(entry));
    }
  }

  private removeEntry(id: string, nowMs: number, graceMs: number): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    for (const [expiredId, {untilMs}] of this.expired) {
      if (untilMs <= nowMs) this.expired.delete(expiredId);
    }
    if (graceMs === 0) this.departures.record(id, nowMs);
    else if (entry) this.expired.set(id, {entry, untilMs: nowMs + graceMs});
  }

  private put(entry: UpstreamEntry): void {
    this.entries.set(entry.id, entry);
    this.expired.delete(entry.id);
  }
}
