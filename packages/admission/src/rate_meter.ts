const MS_PER_SECOND = 1000;

/** Exponentially decaying rate of events. */
export class RateMeter {
  private amount = 0;
  private updatedMs = -Infinity;

  constructor(private readonly timeConstantMs: number) {}

  add(amount: number, nowMs: number): void {
    this.decay(nowMs);
    this.amount += amount;
  }

  /** Current rate per second. */
  getPerSecond(nowMs: number): number {
    this.decay(nowMs);
    return (this.amount / this.timeConstantMs) * MS_PER_SECOND;
  }

  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedMs;
    if (elapsedMs <= 0) return;
    this.amount *= Math.exp(-elapsedMs / this.timeConstantMs);
    this.updatedMs = nowMs;
  }
}
