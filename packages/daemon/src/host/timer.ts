import type {Clock} from './clock.js';

/** Maximum delay that `setTimeout` supports. */
const MAX_DELAY_MS = 2_147_483_647;

/** Timer with a due time that can change while it runs. */
export class Timer {
  private handle: NodeJS.Timeout | undefined;
  private dueMs = Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly run: () => void,
  ) {}

  /**
   * @param dueMs Monotonic due time; Infinity cancels the timer. When a timer is
   *   already running for an earlier time, it stays: `run` is then called early.
   */
  set(dueMs: number): void {
    if (
      this.handle !== undefined &&
      dueMs >= this.dueMs &&
      dueMs !== Infinity
    ) {
      // The earlier timer fires early and is then set again. This costs less than
      // resetting the timer at each event.
      return;
    }
    this.clear();
    if (dueMs === Infinity) return;
    this.dueMs = dueMs;
    const delayMs = Math.ceil(dueMs - this.clock.nowMs());
    this.handle = setTimeout(
      () => {
        this.handle = undefined;
        this.run();
      },
      Math.min(Math.max(delayMs, 0), MAX_DELAY_MS),
    );
  }

  clear(): void {
    clearTimeout(this.handle);
    this.handle = undefined;
    this.dueMs = Infinity;
  }
}
