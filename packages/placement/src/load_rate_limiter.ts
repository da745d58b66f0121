const MS_PER_SECOND = 1_000;

/**
 * Spaces loads so that this host stays within its share of the weight store's
 * rate.
 */
export class LoadRateLimiter {
  private availableAtMs = -Infinity;

  canStartLoad(nowMs: number): boolean {
    return nowMs >= this.availableAtMs;
  }

  /** Monotonic time from which the next load may start, in milliseconds. */
  getNextLoadAtMs(): number {
    return this.availableAtMs;
  }

  /** Delays the next load by the time that this one takes at the given rate. */
  recordLoad(sizeBytes: number, bytesPerSecond: number, nowMs: number): void {
    this.availableAtMs = nowMs + (sizeBytes / bytesPerSecond) * MS_PER_SECOND;
  }
}
