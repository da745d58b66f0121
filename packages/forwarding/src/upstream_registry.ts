import {ColdTimes} from './cold_times.js';
import {Departures} from './departures.js';
import {LeavingUpstreams} from './leaving_upstreams.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamExclusion} from './upstream_exclusion.js';
import {UpstreamPresence} from './upstream_presence.js';
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
  private readonly coldTimes = new ColdTimes();

  list(): UpstreamEntry[] {
    return [...this.entries.values()];
  }

  /** Lists the upstreams with the cold time that each has left. */
  listAged(nowMs: number): UpstreamEntry[] {
    return this.list().map(entry => this.coldTimes.age(entry, nowMs));
  }

  find(id: string): UpstreamEntry | undefined {
    return this.entries.get(id);
  }

  /** Lists the upstreams that are in use, also those whose entries may have lapsed. */
  listInUse(nowMs: number): UpstreamEntry[] {
    return [...this.entries.values(), ...this.listLapsed(nowMs)];
  }

  /**
   * What the list says of an upstream at which work is open. Load pattern: servers that
   * lose power while they run long prompts, whose addresses others get, and entries
   * that all lapse at once after an outage of the store.
   */
  findPresence({id, address}: UpstreamEntry, nowMs: number): UpstreamPresence {
    if (this.entries.has(id)) return UpstreamPresence.LISTED;
    for (const entry of this.entries.values()) {
      if (entry.address === address) return UpstreamPresence.REPLACED;
    }
    const {untilMs = -Infinity} = this.expired.get(id) ?? {};
    return untilMs > nowMs
      ? UpstreamPresence.LAPSED
      : UpstreamPresence.UNLISTED;
  }

  /** Upstreams of a service that may receive new work. */
  usable(service: string, nowMs: number): UpstreamEntry[] {
    return this.listInUse(nowMs).filter(
      entry =>
        entry.service === service &&
        this.findExclusion(entry, nowMs) === undefined,
    );
  }

  /** Returns why an upstream in use receives no new work; undefined if it may. */
  findExclusion(
    entry: UpstreamEntry,
    nowMs: number,
  ): UpstreamExclusion | undefined {
    if (entry.stage !== UpstreamStage.READY) return UpstreamExclusion.DRAINING;
    if (this.departures.isHeld(entry.id, nowMs)) return UpstreamExclusion.GONE;
    if (this.leaving.has(entry)) return UpstreamExclusion.LEAVING;
    return undefined;
  }

  replace(
    entries: readonly UpstreamEntry[],
    nowMs: number,
    mayHaveExpired: boolean,
  ): void {
    for (const {id} of this.listOthers(entries)) {
      this.remove(id, nowMs, mayHaveExpired);
    }
    for (const entry of entries) {
      this.put(entry, nowMs);
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
    for (const {id, revision = 0} of this.listOthers(entries)) {
      if (revision <= copied) this.remove(id, nowMs, false);
      else this.lapse(id, nowMs + RESTORE_GRACE_MS, nowMs);
    }
    this.departures.hold(nowMs);
    for (const entry of entries) {
      this.put(entry, nowMs, true);
      if (entry.stage !== UpstreamStage.READY) {
        this.departures.record(entry.id, nowMs);
      }
    }
  }

  /** Applies a change of an entry. */
  write(entry: UpstreamEntry, nowMs: number): void {
    this.put(entry, nowMs);
    if (entry.stage === UpstreamStage.READY) this.departures.forget(entry.id);
    else this.departures.record(entry.id, nowMs);
  }

  /** @param mayHaveExpired Whether the store was unavailable recently. */
  remove(id: string, nowMs: number, mayHaveExpired: boolean): void {
    const mayBeLive = mayHaveExpired && !this.departures.isHeld(id, nowMs);
    const graceMs = mayBeLive ? EXPIRY_GRACE_MS : 0;
    this.lapse(id, nowMs + graceMs, nowMs);
    // Only a store that came back from a copy lists again what has left.
    this.departures.record(id, nowMs, graceMs);
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

  private listLapsed(nowMs: number): UpstreamEntry[] {
    return [...this.expired.values()]
      .filter(({untilMs}) => untilMs > nowMs)
      .map(({entry}) => entry);
  }

  private listOthers(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    const kept = new Set(entries.map(({id}) => id));
    return this.list().filter(({id}) => !kept.has(id));
  }

  /** Drops an entry whose upstream is used until a time. */
  private lapse(id: string, untilMs: number, nowMs: number): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    for (const [expiredId, {untilMs: endMs}] of this.expired) {
      if (endMs <= nowMs) this.expired.delete(expiredId);
    }
    if (entry && untilMs > nowMs) this.expired.set(id, {entry, untilMs});
  }

  private put(entry: UpstreamEntry, nowMs: number, mayBeOld = false): void {
    const known = this.entries.get(entry.id);
    this.coldTimes.record(entry, known, nowMs, mayBeOld);
    this.entries.set(entry.id, entry);
    this.expired.delete(entry.id);
  }
}
