import {orderByRendezvous} from '@parsleywood/routing';

/** Time without progress after which the next host of the order acts. */
const TAKEOVER_MS = 15_000;

/** Decides when it is this host's turn to order for a model. */
export class Turns {
  private readonly progressAtMs = new Map<string, number>();
  /** Models that this host orders for until they are as wanted. */
  private readonly acting = new Set<string>();

  constructor(private readonly host: string) {}

  /** Starts anew with other plans. */
  clear(): void {
    this.progressAtMs.clear();
    this.acting.clear();
  }

  /** Notes that a model's engines changed; own steps do not count. */
  noteProgress(model: string, nowMs: number): void {
    if (!this.acting.has(model)) this.progressAtMs.set(model, nowMs);
  }

  noteActing(model: string): void {
    this.acting.add(model);
  }

  noteConverged(model: string): void {
    this.acting.delete(model);
  }

  /** Place of this host in the rendezvous order of a key; 0 is first. */
  rankOf(key: string, alive: readonly string[]): number {
    const hosts = [...new Set([...alive, this.host])];
    return orderByRendezvous(key, hosts).indexOf(this.host);
  }

  /** Time from which this host may act, in milliseconds. */
  actsAtMs(model: string, rank: number, nowMs: number): number {
    return (this.progressAtMs.get(model) ?? nowMs) + rank * TAKEOVER_MS;
  }
}
