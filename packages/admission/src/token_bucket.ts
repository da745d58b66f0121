/** Bucket whose rate may change at any time; large costs leave it in debt. */
export class TokenBucket {
  private level: number | undefined;
  private updatedMs = -Infinity;

  /** Adds what the rate has brought since the last call. */
  refill(perMs: number, capacity: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const before = this.level ?? capacity;
    const gained = elapsedMs === Infinity ? 0 : elapsedMs * perMs;
    this.level = Math.min(capacity, before + gained);
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }

  /** Time until the cost may be taken; 0 when it may be now. */
  waitMs(cost: number, perMs: number, capacity: number): number {
    const missing = Math.min(cost, capacity) - (this.level ?? capacity);
    return missing <= 0 ? 0 : missing / perMs;
  }

  take(cost: number): void {
    this.level = (this.level ?? 0) - cost;
  }
}
