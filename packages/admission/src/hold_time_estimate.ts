const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const DEVIATIONS = 2;
/** Without samples for this long, the estimate returns to its first value. */
const IDLE_MS = 10_000;

/** How long an admitted request holds its place: mean and mean deviation. */
export class HoldEstimate {
  private mean: number;
  private deviation: number;
  private sampledMs = -Infinity;

  /** @param firstMs Expected time before there are samples. */
  constructor(private readonly firstMs: number) {
    this.mean = firstMs;
    this.deviation = 0;
  }

  observe(holdMs: number, nowMs: number): void {
    if (this.sampledMs === -Infinity) {
      this.mean = holdMs;
      this.deviation = holdMs / 2;
    } else {
      const error = holdMs - this.mean;
      this.mean += MEAN_WEIGHT * error;
      this.deviation += DEVIATION_WEIGHT * (Math.abs(error) - this.deviation);
    }
    this.sampledMs = nowMs;
  }

  meanMs(nowMs: number): number {
    return this.age(this.mean, nowMs);
  }

  /** Time that few requests exceed. */
  highMs(nowMs: number): number {
    return this.age(this.mean + DEVIATIONS * this.deviation, nowMs);
  }

  private age(value: number, nowMs: number): number {
    if (this.sampledMs === -Infinity) return value;
    const idleMs = nowMs - this.sampledMs - IDLE_MS;
    if (idleMs <= 0) return value;
    const part = Math.exp(-idleMs / IDLE_MS);
    return value * part + this.firstMs * (1 - part);
  }
}
