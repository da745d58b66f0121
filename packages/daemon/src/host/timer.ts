import type {Clock} from './clock.js';

/** Longest delay that the platform's timers take, in milliseconds. */
const MAX_DELAY_MS = 2_147_483_647;

/** One timer that is set anew as often as its due time changes. */
export class Timer {
  private handle: NodeJS.Timeout | undefined;
  private dueMs = Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly run: () => void,
  ) {}

  /** Sets the due time, monotonic, in milliseconds; Infinity sets none. */
  set(dueMs: number): void {
    if (
      this.handle !== undefined &&
      dueMs >= this.dueMs &&
      dueMs !== Infinity
    ) {
      // The timer fires early and is then set anew, which costs less than
      // setting it anew at each event.
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
