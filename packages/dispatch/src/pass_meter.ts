/** Gaps between events from which one measurement is taken. */
const GAPS_PER_MEASUREMENT = 6;

/**
 * Measures the pass time of an engine from the arrival times of a stream's events.
 * Passes that also prefill take longer, so the shortest of several gaps is taken
 * as the time of a pass that only decodes.
 */
export class PassMeter {
  private lastEventMs: number | undefined;
  private shortestGapMs = Infinity;
  private gaps = 0;

  /**
   * Records the arrival of an event.
   *
   * @return Pass time in milliseconds, once per `GAPS_PER_MEASUREMENT` gaps.
   */
  recordEvent(nowMs: number): number | undefined {
    if (this.lastEventMs !== undefined) {
      this.shortestGapMs = Math.min(
        this.shortestGapMs,
        nowMs - this.lastEventMs,
      );
      this.gaps++;
    }
    this.lastEventMs = nowMs;
    if (this.gaps < GAPS_PER_MEASUREMENT) return undefined;
    const passMs = this.shortestGapMs;
    this.shortestGapMs = Infinity;
    this.gaps = 0;
    return passMs;
  }
}
