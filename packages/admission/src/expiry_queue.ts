import TinyQueue from 'tinyqueue';

import type {QueuedOffer} from './queued_request.js';

/** Queued offers by the last time at which they may be admitted. */
export class ExpiryQueue {
  private readonly heap = new TinyQueue<QueuedOffer>(
    [],
    (a, b) => a.latestStartMs - b.latestStartMs,
  );

  push(queued: QueuedOffer): void {
    this.heap.push(queued);
  }

  /** Monotonic time at which the next offer expires; Infinity when none does. */
  nextAtMs(): number {
    this.dropLeft();
    return this.heap.peek()?.latestStartMs ?? Infinity;
  }

  /** An offer that may not be admitted any more; it stays until it has left. */
  findExpired(nowMs: number): QueuedOffer | undefined {
    return nowMs >= this.nextAtMs() ? this.heap.peek() : undefined;
  }

  private dropLeft(): void {
    while (this.heap.peek()?.left) this.heap.pop();
  }
}
