import type {QueuedOffer} from './queued_request.js';

/** Expected times that one request is started ahead of its last chance. */
const SAFETY = 2;

/** Offers that wait for slack, the earliest deadline first. */
export class BatchQueue {
  private readonly queued: QueuedOffer[] = [];

  get size(): number {
    return this.queued.length;
  }

  push(queued: QueuedOffer): void {
    const {deadlineMs} = queued.offer;
    const index = this.queued.findIndex(
      other => other.offer.deadlineMs > deadlineMs,
    );
    if (index < 0) this.queued.push(queued);
    else this.queued.splice(index, 0, queued);
  }

  /** Offers whose deadlines come before the one given. */
  countBefore(deadlineMs: number): number {
    const index = this.queued.findIndex(
      ({offer}) => offer.deadlineMs >= deadlineMs,
    );
    return index < 0 ? this.queued.length : index;
  }

  pop(): QueuedOffer | undefined {
    const queued = this.queued.shift();
    if (queued) queued.left = true;
    return queued;
  }

  remove(queued: QueuedOffer): void {
    const index = this.queued.indexOf(queued);
    if (index >= 0) this.queued.splice(index, 1);
    queued.left = true;
  }

  /**
   * Monotonic time at which the first offer has to start so that all end in
   * time, each expected to hold one of the places for the time given.
   */
  dueAtMs(holdMs: number, places: number): number {
    let dueMs = Infinity;
    this.queued.forEach(({offer}, index) => {
      const turns = Math.ceil((index + 1) / places);
      dueMs = Math.min(dueMs, offer.deadlineMs - SAFETY * holdMs * turns);
    });
    return dueMs;
  }
}
