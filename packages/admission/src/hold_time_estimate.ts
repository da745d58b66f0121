const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const HIGH_DEVIATIONS = 2;
/**
 * Without samples for this long, the estimate decays exponentially to its initial
 * value, with this time constant.
 */
const SAMPLE_EXPIRY_MS = 10_000;

/** Moving mean and mean deviation of the time for which requests hold a slot. */
export class HoldTimeEstimate {
  private mean: number;
  private deviation: number;
  private lastSampleMs = -Infinity;

  /** @param initialMs Estimate before the first sample. */
  constructor(private readonly initialMs: number) {
    this.mean = initialMs;
    this.deviation = 0;
  }

  observe(holdMs: number, nowMs: number): void {
    if (this.lastSampleMs === -Infinity) {
      this.mean = holdMs;
      this.deviation = holdMs / 2;
    } else {
      const error = holdMs - this.mean;
      this.mean += MEAN_WEIGHT * error;
      this.deviation += DEVIATION_WEIGHT * (Math.abs(error) - this.deviation);
    }
    this.lastSampleMs = nowMs;
  }

  getMeanMs(nowMs: number): number {
    return this.decayToInitial(this.mean, nowMs);
  }

  /** Upper estimate that few requests exceed. */
  getHighMs(nowMs: number): number {
    return this.decayToInitial(
      this.mean + HIGH_DEVIATIONS * this.deviation,
      nowMs,
    );
  }

  private decayToInitial(value: number, nowMs: number): number {
    if (this.lastSampleMs === -Infinity) return value;
    const expiredMs = nowMs - this.lastSampleMs - SAMPLE_EXPIRY_MS;
    if (expiredMs <= 0) return value;
    const weight = Math.exp(-expiredMs / SAMPLE_EXPIRY_MS);
    return value * weight + this.initialMs * (1 - weight);
  }
}
