import type {DurationHistory} from './duration_history.js';
import {isRepeatable} from './is_repeatable.js';
import type {Route} from './route.js';

/** Time between the deadline of a request and the close, to send its answer. */
const ANSWER_MARGIN_MS = 200;
/** Factor on the longest recent duration, as the next one may be longer. */
const DURATION_FACTOR = 1.5;

/**
 * Decides which requests a stopping host still accepts: those that end before
 * it closes. Load pattern: callers use its address for some seconds more, and
 * send short requests beside long ones and beside ones that must run only once.
 */
export class DrainAdmission {
  /**
   * @param durations How long recent requests took.
   * @param refusesFromMs Monotonic time from which no request is accepted.
   * @param closesAtMs Monotonic time at which open requests are cut off.
   */
  constructor(
    private readonly durations: DurationHistory,
    private readonly refusesFromMs: number,
    private readonly closesAtMs: number,
  ) {}

  /** @param deadlineMs Monotonic deadline of the request. */
  mayAccept(
    route: Pick<Route, 'name' | 'kind' | 'resumable'>,
    deadlineMs: number,
    nowMs: number,
  ): boolean {
    if (nowMs >= this.refusesFromMs) return false;
    if (deadlineMs + ANSWER_MARGIN_MS <= this.closesAtMs) return true;
    // The outcome of a call that is cut off would stay unknown for good.
    if (!isRepeatable(route)) return false;
    const expectedMs =
      DURATION_FACTOR * this.durations.getLongestMs(route.name);
    return nowMs + expectedMs + ANSWER_MARGIN_MS <= this.closesAtMs;
  }
}
