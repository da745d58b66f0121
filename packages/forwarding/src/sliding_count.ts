/** Times of the last events within a sliding window. */
export class SlidingCount {
  private readonly times: number[] = [];

  /** @param lengthMs Length of the window. */
  constructor(private readonly lengthMs: number) {}

  add(nowMs: number): void {
    this.times.push(nowMs);
  }

  count(nowMs: number): number {
    while ((this.times[0] ?? Infinity) <= nowMs - this.lengthMs) {
      this.times.shift();
    }
    return this.times.length;
  }
}
