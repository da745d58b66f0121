const MS_PER_SECOND = 1_000;

/** Spaces loads so that this host keeps to its share of the weight store. */
export class LoadPace {
  private freeAtMs = -Infinity;

  /** Whether a load may begin. */
  isFree(nowMs: number): boolean {
    return nowMs >= this.freeAtMs;
  }

  /** Time at which a load may begin, in milliseconds. */
  nextAtMs(): number {
    return this.freeAtMs;
  }

  /** Counts a load that begins. */
  charge(sizeBytes: number, bytesPerSecond: number, nowMs: number): void {
    this.freeAtMs = nowMs + (sizeBytes / bytesPerSecond) * MS_PER_SECOND;
  }
}
