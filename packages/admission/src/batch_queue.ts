import type {QueuedRequest} from './queued_request.js';

/** Multiple of the expected hold time that is reserved before a deadline. */
const SAFETY_FACTOR = 2;

/** Batch requests that wait for spare capacity, earliest deadline first. */
export class BatchQueue {
  private readonly queued: QueuedRequest[] = [];

  get size(): number {
    return this.queued.length;
  }

  push(queued: QueuedRequest): void {
    const {deadlineMs} = queued.request;
    const index = this.queued.findIndex(
      other => other.request.deadlineMs > deadlineMs,
    );
    if (index < 0) this.queued.push(queued);
    else this.queued.splice(index, 0, queued);
  }

  /** Counts the requests with an earlier deadline. */
  countBefore(deadlineMs: number): number {
    const index = this.queued.findIndex(
      ({request}) => request.deadlineMs >= deadlineMs,
    );
    return index < 0 ? this.queued.length : index;
  }

  pop(): QueuedRequest | undefined {
    const queued = this.queued.shift();
    if (queued) queued.isDequeued = true;
    return queued;
  }

  remove(queued: QueuedRequest): void {
    const index = this.queued.indexOf(queued);
    if (index >= 0) this.queued.splice(index, 1);
    queued.isDequeued = true;
  }

  /**
   * Monotonic time at which the first request has to start so that all queued
   * ones meet their deadlines, each using one of the slots for `holdMs`.
   * Infinity when the queue is empty.
   */
  getDueAtMs(holdMs: number, slots: number): number {
    let dueMs = Infinity;
    this.queued.forEach(({request}, index) => {
      const rounds = Math.ceil((index + 1) / slots);
      dueMs = Math.min(
        dueMs,
        request.deadlineMs - SAFETY_FACTOR * holdMs * rounds,
      );
    });
    return dueMs;
  }
}
