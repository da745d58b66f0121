const WINDOW_MS = 500;
const MIN_SAMPLES = 8;
/** Part of first tokens that may be late before the limit falls. */
const LATE_PART = 0.1;
const MIN_DECREASE = 0.5;
const MAX_DECREASE = 0.9;
const INCREASE_PART = 0.1;
/** Increase while first tokens come in less than the fast part of the target. */
const FAST_INCREASE_PART = 0.5;
const FAST_PART = 1 / 3;
/** The limit stays below this many times the requests that ran lately. */
const MAX_UNUSED_FACTOR = 2;
const PEAK_DECAY = 0.95;
/** Limit that is kept without any use. */
const IDLE_LIMIT = 4;
/** The limit rises only where this part of it was in use. */
const USED_PART = 0.8;
const MIN_LIMIT = 1;
const MAX_LIMIT = 4096;

/** Requests at once, raised while first tokens come in time and cut when late. */
export class FirstTokenLimit {
  private limit: number;
  private windowStartMs = -Infinity;
  private samples = 0;
  private late = 0;
  private sumMs = 0;
  private mostRunning = 0;
  private lastPeak: number;
  private cutAtMs = -Infinity;
  private strained = false;
  private relaxed = true;

  /**
   * @param initial Limit at first.
   * @param targetMs Time in which first tokens should come.
   */
  constructor(
    initial: number,
    private targetMs: number,
  ) {
    this.limit = initial;
    this.lastPeak = initial;
  }

  /** Requests that may run at once. */
  get value(): number {
    return Math.max(MIN_LIMIT, Math.floor(this.limit));
  }

  /** Whether first tokens of the last window came late. */
  get isStrained(): boolean {
    return this.strained;
  }

  /** Whether first tokens of the last window left much of the target. */
  get isRelaxed(): boolean {
    return this.relaxed;
  }

  setTarget(targetMs: number): void {
    this.targetMs = targetMs;
  }

  observeRunning(running: number): void {
    this.mostRunning = Math.max(this.mostRunning, running);
  }

  /**
   * Takes the first-token time of one request.
   *
   * @param overdue Other requests that wait for longer than the target.
   */
  observe(firstTokenMs: number, overdue: number, nowMs: number): void {
    // Requests admitted before the last cut do not show what it changed.
    if (nowMs - firstTokenMs < this.cutAtMs) return;
    if (this.windowStartMs === -Infinity) this.windowStartMs = nowMs;
    this.samples++;
    this.sumMs += firstTokenMs;
    if (firstTokenMs > this.targetMs) this.late++;
    const windowMs = Math.max(WINDOW_MS, this.targetMs / 2);
    const full = this.samples >= MIN_SAMPLES;
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS || (!full && elapsedMs < windowMs)) return;
    this.adjust(overdue, nowMs);
    this.startWindow(nowMs);
  }

  private adjust(overdue: number, nowMs: number): void {
    const late = this.late + overdue;
    const count = this.samples + overdue;
    const meanMs = Math.max(1, this.sumMs / this.samples);
    this.strained = late > count * LATE_PART;
    this.relaxed = !this.strained && meanMs < this.targetMs * FAST_PART;
    if (this.strained) {
      const gradient = this.targetMs / meanMs;
      const factor = Math.min(MAX_DECREASE, Math.max(MIN_DECREASE, gradient));
      this.limit = Math.max(MIN_LIMIT, this.limit * factor);
      this.cutAtMs = nowMs;
    } else if (this.mostRunning >= this.value * USED_PART) {
      const part = this.relaxed ? FAST_INCREASE_PART : INCREASE_PART;
      const step = Math.max(1, this.limit * part);
      this.limit = Math.min(MAX_LIMIT, this.limit + step);
    }
    this.lastPeak = Math.max(this.mostRunning, this.lastPeak * PEAK_DECAY);
    const most = Math.max(IDLE_LIMIT, this.lastPeak * MAX_UNUSED_FACTOR);
    this.limit = Math.min(this.limit, most);
  }

  private startWindow(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.samples = 0;
    this.late = 0;
    this.sumMs = 0;
    this.mostRunning = 0;
  }
}
