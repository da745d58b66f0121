import {orderByRendezvous} from '@parsleywood/routing';

/** Time without progress after which the next host in rank order takes over. */
const TAKEOVER_MS = 15_000;

/**
 * Decides from when on this host sends commands to the engines of a model. The
 * host of rank 0 starts at once; each further one takes over if the engines make
 * no progress under the hosts before it.
 */
export class TakeoverSchedule {
  private readonly lastProgressAtMs = new Map<string, number>();
  /** Models whose engines this host commands until they converge. */
  private readonly activeModels = new Set<string>();

  constructor(private readonly host: string) {}

  /** Resets the schedule for a new plan. */
  clear(): void {
    this.lastProgressAtMs.clear();
    this.activeModels.clear();
  }

  /**
   * Restarts the takeover timeout because a model's engines changed. Ignored
   * while this host commands these engines itself.
   */
  recordProgress(model: string, nowMs: number): void {
    if (!this.activeModels.has(model)) this.lastProgressAtMs.set(model, nowMs);
  }

  markActive(model: string): void {
    this.activeModels.add(model);
  }

  markConverged(model: string): void {
    this.activeModels.delete(model);
  }

  /** Rank of this host in the rendezvous order for a key; 0 is first. */
  getRank(key: string, aliveHosts: readonly string[]): number {
    const hosts = [...new Set([...aliveHosts, this.host])];
    return orderByRendezvous(key, hosts).indexOf(this.host);
  }

  /** Monotonic time from which this host may send commands, in milliseconds. */
  getTakeoverAtMs(model: string, rank: number, nowMs: number): number {
    return (this.lastProgressAtMs.get(model) ?? nowMs) + rank * TAKEOVER_MS;
  }
}
