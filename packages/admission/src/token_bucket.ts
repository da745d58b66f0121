/**
 * Token bucket whose rate may change at any time. A cost above the capacity makes
 * the level negative.
 */
export class TokenBucket {
  private level: number | undefined;
  private updatedMs = -Infinity;

  /** Adds the tokens accrued since the last call, up to the capacity. */
  refill(perMs: number, capacity: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const before = this.level ?? capacity;
    const gained = elapsedMs === Infinity ? 0 : elapsedMs * perMs;
    this.level = Math.min(capacity, before + gained);
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }

  /** Milliseconds until the cost may be taken; 0 when it may be taken now. */
  getWaitMs(cost: number, perMs: number, capacity: number): number {
    const missing = Math.min(cost, capacity) - (this.level ?? capacity);
    return missing <= 0 ? 0 : missing / perMs;
  }

  take(cost: number): void {
    this.level = (this.level ?? 0) - cost;
  }
}
