/** Part of the memory from which unused memory is freed. */
const HIGH_SHARE = 0.6;
const MIN_INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 30_000;
/** Time for which memory must not have grown before the rest is freed. */
const CALM_MS = 5_000;
/** Growth by which memory counts as growing. */
const STEP_MB = 4;

/**
 * Decides when a host frees unused memory by itself. Load pattern: large bodies and
 * answers whose buffers, outside the heap, are unused long before the engine frees
 * them.
 */
export class CollectionPolicy {
  private readonly highMb: number;
  private collectedAtMs = -Infinity;
  private intervalMs = MIN_INTERVAL_MS;
  private leastMb = Infinity;
  private peakMb = 0;
  private peakAtMs = 0;
  private hasRest = false;

  /** @param memoryMb Memory that the process may use. */
  constructor(memoryMb: number) {
    this.highMb = memoryMb * HIGH_SHARE;
  }

  /** Records that callers were refused or ended, which leaves unused memory behind. */
  recordRefusal(nowMs: number): void {
    this.hasRest = true;
    this.peakAtMs = nowMs;
  }

  /** Whether memory is high enough for new objects to be collected all the time. */
  isHigh(usedMb: number): boolean {
    return usedMb > this.highMb;
  }

  /** @param usedMb Resident memory of the process. */
  mustCollect(usedMb: number, nowMs: number): boolean {
    if (usedMb > this.peakMb + STEP_MB || usedMb < this.leastMb) {
      this.peakMb = usedMb;
      this.peakAtMs = nowMs;
    }
    this.leastMb = Math.min(this.leastMb, usedMb);
    const sinceMs = nowMs - this.collectedAtMs;
    if (this.isHigh(usedMb)) {
      this.hasRest = true;
      return sinceMs >= this.intervalMs;
    }
    const isCalm = nowMs - this.peakAtMs >= CALM_MS;
    return this.hasRest && isCalm && sinceMs >= CALM_MS;
  }

  /** @param usedMb Resident memory after the collection. */
  recordCollection(usedMb: number, nowMs: number): void {
    this.collectedAtMs = nowMs;
    // A host that needs the memory is not stopped again and again.
    this.intervalMs =
      usedMb > this.highMb
        ? Math.min(2 * this.intervalMs, MAX_INTERVAL_MS)
        : MIN_INTERVAL_MS;
    if (usedMb <= this.highMb && nowMs - this.peakAtMs >= CALM_MS) {
      this.hasRest = false;
    }
    this.peakMb = usedMb;
  }
}
