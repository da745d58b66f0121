const WINDOW_MS = 500;
const MIN_SAMPLES = 8;
/** The limit decreases when more than this fraction of first tokens is late. */
const MAX_LATE_FRACTION = 0.1;
const MIN_DECREASE_FACTOR = 0.5;
const MAX_DECREASE_FACTOR = 0.9;
/** Increase without headroom, as a fraction of the limit. */
const INCREASE_FRACTION = 0.1;
/** Increase while there is headroom, as a fraction of the limit. */
const FAST_INCREASE_FRACTION = 0.5;
/** There is headroom while the mean is below this fraction of the target. */
const HEADROOM_TARGET_FRACTION = 1 / 3;
/** Caps the limit at this multiple of the recent peak of running requests. */
const MAX_PEAK_FACTOR = 2;
const PEAK_DECAY = 0.95;
/** The cap by the recent peak never falls below this limit. */
const IDLE_LIMIT = 4;
/** The limit increases only when at least this fraction of it was in use. */
const MIN_USED_FRACTION = 0.8;
const MIN_LIMIT = 1;
const MAX_LIMIT = 4096;

/**
 * Limit on concurrent requests. It increases while times to first token meet
 * their target and decreases when too many miss it.
 */
export class AdaptiveLimit {
  private limit: number;
  private windowStartMs = -Infinity;
  private samples = 0;
  private late = 0;
  private sumMs = 0;
  private maxRunning = 0;
  private recentPeak: number;
  private decreasedAtMs = -Infinity;
  private wasOverloaded = false;
  private hadHeadroom = true;

  /**
   * @param initial Initial limit.
   * @param targetMs Target for the time to first token.
   */
  constructor(
    initial: number,
    private targetMs: number,
  ) {
    this.limit = initial;
    this.recentPeak = initial;
  }

  /** Maximum number of concurrent requests, at least 1. */
  get value(): number {
    return Math.max(MIN_LIMIT, Math.floor(this.limit));
  }

  /** Whether too many first tokens of the last window missed the target. */
  get isOverloaded(): boolean {
    return this.wasOverloaded;
  }

  /** Whether first tokens of the last window came well within the target. */
  get hasHeadroom(): boolean {
    return this.hadHeadroom;
  }

  setTarget(targetMs: number): void {
    this.targetMs = targetMs;
  }

  observeRunning(running: number): void {
    this.maxRunning = Math.max(this.maxRunning, running);
  }

  /**
   * Records the time to first token of one request.
   *
   * @param overdue Number of other requests that have waited longer than the
   *   target for their first token.
   */
  observe(firstTokenMs: number, overdue: number, nowMs: number): void {
    // Requests sent before the last decrease do not reflect its effect.
    if (nowMs - firstTokenMs < this.decreasedAtMs) return;
    if (this.windowStartMs === -Infinity) this.windowStartMs = nowMs;
    this.samples++;
    this.sumMs += firstTokenMs;
    if (firstTokenMs > this.targetMs) this.late++;
    const maxWindowMs = Math.max(WINDOW_MS, this.targetMs / 2);
    const isFull = this.samples >= MIN_SAMPLES;
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS || (!isFull && elapsedMs < maxWindowMs)) return;
    this.adjust(overdue, nowMs);
    this.startWindow(nowMs);
  }

  private adjust(overdue: number, nowMs: number): void {
    const late = this.late + overdue;
    const count = this.samples + overdue;
    const meanMs = Math.max(1, this.sumMs / this.samples);
    this.wasOverloaded = late > count * MAX_LATE_FRACTION;
    this.hadHeadroom =
      !this.wasOverloaded && meanMs < this.targetMs * HEADROOM_TARGET_FRACTION;
    if (this.wasOverloaded) {
      const gradient = this.targetMs / meanMs;
      const factor = Math.min(
        MAX_DECREASE_FACTOR,
        Math.max(MIN_DECREASE_FACTOR, gradient),
      );
      this.limit = Math.max(MIN_LIMIT, this.limit * factor);
      this.decreasedAtMs = nowMs;
    } else if (this.maxRunning >= this.value * MIN_USED_FRACTION) {
      const fraction = this.hadHeadroom
        ? FAST_INCREASE_FRACTION
        : INCREASE_FRACTION;
      const step = Math.max(1, this.limit * fraction);
      this.limit = Math.min(MAX_LIMIT, this.limit + step);
    }
    this.recentPeak = Math.max(this.maxRunning, this.recentPeak * PEAK_DECAY);
    const maxLimit = Math.max(IDLE_LIMIT, this.recentPeak * MAX_PEAK_FACTOR);
    this.limit = Math.min(this.limit, maxLimit);
  }

  private startWindow(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.samples = 0;
    this.late = 0;
    this.sumMs = 0;
    this.maxRunning = 0;
  }
}
