import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

/**
 * How long an upstream is still used after its entry may have expired. No work
 * may reach a stopped upstream later than 2 s after it left; the margin below
 * that bound covers the time that a request needs to arrive.
 */
const EXPIRY_GRACE_MS = 1_500;

/**
 * The upstreams that may receive new work. An entry that expires while the
 * store is unavailable may belong to a live upstream, so it stays usable for a
 * short time.
 */
export class UpstreamRegistry {
  private readonly entries = new Map<string, UpstreamEntry>();
  private readonly expired = new Map<
    string,
    {entry: UpstreamEntry; untilMs: number}
  >();

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
      entry => entry.service === service && entry.stage === UpstreamStage.READY,
    );
  }

  replace(
    entries: readonly UpstreamEntry[],
    nowMs: number,
    mayHaveExpired: boolean,
  ): void {
    const kept = new Set(entries.map(({id}) => id));
    for (const id of [...this.entries.keys()]) {
      if (!kept.has(id)) this.remove(id, nowMs, mayHaveExpired);
    }
    for (const entry of entries) this.write(entry);
  }

  write(entry: UpstreamEntry): void {
    this.entries.set(entry.id, entry);
    this.expired.delete(entry.id);
  }

  /** @param mayHaveExpired Whether the store was unavailable recently. */
  remove(id: string, nowMs: number, mayHaveExpired: boolean): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    for (const [expiredId, {untilMs}] of this.expired) {
      if (untilMs <= nowMs) this.expired.delete(expiredId);
    }
    if (entry === undefined || !mayHaveExpired) return;
    this.expired.set(id, {entry, untilMs: nowMs + EXPIRY_GRACE_MS});
  }

  /**
   * Removes an upstream after its address reported another id or that it
   * stopped.
   */
  evict(id: string): void {
    this.entries.delete(id);
    this.expired.delete(id);
  }
}
