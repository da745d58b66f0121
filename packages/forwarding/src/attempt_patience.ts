import type {Route} from './route.js';

/** Answers to wait for beyond the expected time, as a factor and a length. */
const EXPECTED_FACTOR = 2;
const EXPECTED_SLACK_MS = 700;
/** The same for the check whether engines can be reached at all. */
const CHECK_FACTOR = 1.3;
const CHECK_SLACK_MS = 200;
/** Part of the time that callers wait which one attempt may use. */
const PATIENCE_PART = 0.6;
/** Longest wait that stems from the caller's patience alone. */
const MAX_PATIENCE_PART_MS = 3_000;
/** Objectives that a plain call waits before it is sent elsewhere. */
const CALL_OBJECTIVES = 2;
/** Pauses, in objectives and in length, after which a stream moves. */
const PAUSE_OBJECTIVES = 3;
const MIN_PAUSE_MS = 800;
/** Callers leave a stream after the longest of these. */
const CALLER_MIN_PATIENCE_MS = 2_000;
const CALLER_OBJECTIVES = 4;
const CALLER_PAUSES = 8;

/** How long attempts are waited for before a request moves elsewhere. */
export const attemptPatience = {
  /** Time for which callers wait for the first event, in milliseconds. */
  ofCaller({
    latencyObjectiveMs,
    pauseObjectiveMs = 0,
  }: Pick<Route, 'latencyObjectiveMs' | 'pauseObjectiveMs'>): number {
    return Math.max(
      CALLER_MIN_PATIENCE_MS,
      CALLER_OBJECTIVES * latencyObjectiveMs,
      CALLER_PAUSES * pauseObjectiveMs,
    );
  },

  /** Time for the first event, given what was expected. */
  forFirstEvent(route: Route, expectedMs: number): number {
    return Math.max(
      EXPECTED_FACTOR * expectedMs + EXPECTED_SLACK_MS,
      Math.min(
        PATIENCE_PART * attemptPatience.ofCaller(route),
        MAX_PATIENCE_PART_MS,
      ),
    );
  },

  /** Time after which it is checked whether the engines can be reached. */
  untilCheck(expectedMs: number): number {
    return CHECK_FACTOR * expectedMs + CHECK_SLACK_MS;
  },

  /** Time for the answer of a plain call. */
  forCall(route: Route): number {
    return CALL_OBJECTIVES * route.latencyObjectiveMs;
  },

  /** Time between two events. */
  forPause({pauseObjectiveMs = 0}: Route): number {
    return Math.max(MIN_PAUSE_MS, PAUSE_OBJECTIVES * pauseObjectiveMs);
  },
};
