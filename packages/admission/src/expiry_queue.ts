import TinyQueue from 'tinyqueue';

import type {QueuedRequest} from './queued_request.js';

/** Queued requests ordered by the latest time at which they may be admitted. */
export class ExpiryQueue {
  private readonly heap = new TinyQueue<QueuedRequest>(
    [],
    (a, b) => a.latestStartMs - b.latestStartMs,
  );

  push(queued: QueuedRequest): void {
    this.heap.push(queued);
  }

  /** Monotonic time at which the next request expires; Infinity when none does. */
  getNextAtMs(): number {
    this.dropDequeued();
    return this.heap.peek()?.latestStartMs ?? Infinity;
  }

  /**
   * Returns a request that may no longer be admitted. It stays in this queue
   * until it is marked as dequeued.
   */
  findExpired(nowMs: number): QueuedRequest | undefined {
    return nowMs >= this.getNextAtMs() ? this.heap.peek() : undefined;
  }

  private dropDequeued(): void {
    while (this.heap.peek()?.isDequeued) this.heap.pop();
  }
}
