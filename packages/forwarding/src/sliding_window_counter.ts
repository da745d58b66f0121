/** Counts the events within a sliding time window. */
export class SlidingWindowCounter {
  private readonly eventTimesMs: number[] = [];

  /** @param windowMs Length of the window, in milliseconds. */
  constructor(private readonly windowMs: number) {}

  add(nowMs: number): void {
    this.eventTimesMs.push(nowMs);
  }

  count(nowMs: number): number {
    while ((this.eventTimesMs[0] ?? Infinity) <= nowMs - this.windowMs) {
      this.eventTimesMs.shift();
    }
    return this.eventTimesMs.length;
  }
}
