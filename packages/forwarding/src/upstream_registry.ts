import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

/**
 * How long an upstream whose entry may have lapsed is still used: below the 2 s
 * after which no work may reach an upstream that left, less the time on the way.
 */
const LAPSE_GRACE_MS = 1_500;

/**
 * The upstreams that may get new work. An entry that lapses while the store is
 * away may belong to a live upstream, so it stays usable for a short time.
 */
export class UpstreamRegistry {
  private readonly entries = new Map<string, UpstreamEntry>();
  private readonly lapsed = new Map<
    string,
    {entry: UpstreamEntry; untilMs: number}
  >();

  listed(): UpstreamEntry[] {
    return [...this.entries.values()];
  }

  find(id: string): UpstreamEntry | undefined {
    return this.entries.get(id);
  }

  /** Upstreams of a service that may get new work. */
  usable(service: string, nowMs: number): UpstreamEntry[] {
    const lapsed = [...this.lapsed.values()]
      .filter(({untilMs}) => untilMs > nowMs)
      .map(({entry}) => entry);
    return [...this.entries.values(), ...lapsed].filter(
      entry => entry.service === service && entry.stage === UpstreamStage.READY,
    );
  }

  replace(
    entries: readonly UpstreamEntry[],
    nowMs: number,
    mayHaveLapsed: boolean,
  ): void {
    const kept = new Set(entries.map(({id}) => id));
    for (const id of [...this.entries.keys()]) {
      if (!kept.has(id)) this.remove(id, nowMs, mayHaveLapsed);
    }
    for (const entry of entries) this.write(entry);
  }

  write(entry: UpstreamEntry): void {
    this.entries.set(entry.id, entry);
    this.lapsed.delete(entry.id);
  }

  /** @param mayHaveLapsed Whether the store was away a short time ago. */
  remove(id: string, nowMs: number, mayHaveLapsed: boolean): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    for (const [name, {untilMs}] of this.lapsed) {
      if (untilMs <= nowMs) this.lapsed.delete(name);
    }
    if (entry === undefined || !mayHaveLapsed) return;
    this.lapsed.set(id, {entry, untilMs: nowMs + LAPSE_GRACE_MS});
  }

  /** An upstream said itself that it is another one, or gone. */
  forget(id: string): void {
    this.entries.delete(id);
    this.lapsed.delete(id);
  }
}
