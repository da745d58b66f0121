/** Events over which the shortest time between two is taken. */
const EVENTS_PER_READING = 6;

/**
 * Measures an engine's pass from the times of a stream's events: passes that also
 * read are longer, so the shortest of a few is one that only wrote.
 */
export class PassMeter {
  private lastMs: number | undefined;
  private shortestMs = Infinity;
  private gaps = 0;

  /** @return Time of a pass, once for every few events. */
  takeEvent(nowMs: number): number | undefined {
    if (this.lastMs !== undefined) {
      this.shortestMs = Math.min(this.shortestMs, nowMs - this.lastMs);
      this.gaps++;
    }
    this.lastMs = nowMs;
    if (this.gaps < EVENTS_PER_READING) return undefined;
    const reading = this.shortestMs;
    this.shortestMs = Infinity;
    this.gaps = 0;
    return reading;
  }
}
