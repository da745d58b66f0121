/** Counts the events within a sliding time window. */
export class SlidingWindowCounter {
  private readonly times: number[] = [];

  /** @param windowMs Length of the window, in milliseconds. */
  constructor(private readonly windowMs: number) {}

  add(nowMs: number): void {
    this.times.push(nowMs);
  }

  count(nowMs: number): number {
    while ((this.times[0] ?? Infinity) <= nowMs - this.windowMs) {
      this.times.shift();
    }
    return this.times.length;
  }
}
