import type {Route} from './route.js';

/** First-event timeout: the expected time by this factor, plus this slack. */
const FIRST_EVENT_FACTOR = 2;
const FIRST_EVENT_SLACK_MS = 700;
/** The same for the delay until engines are checked for reachability. */
const REACHABILITY_CHECK_FACTOR = 1.3;
const REACHABILITY_CHECK_SLACK_MS = 200;
/** Share of the time for which callers wait that one attempt may use. */
const CALLER_TIMEOUT_SHARE = 0.6;
/** Upper bound of that share; the expected time may still exceed it. */
const MAX_CALLER_TIMEOUT_SHARE_MS = 3_000;
/** Timeout of a plain call, as a multiple of the latency objective. */
const CALL_TIMEOUT_OBJECTIVES = 2;
/**
 * Timeout between events: a multiple of the pause objective, and its minimum.
 */
const EVENT_TIMEOUT_OBJECTIVES = 3;
const MIN_EVENT_TIMEOUT_MS = 800;
/**
 * Callers are expected to disconnect after the longest of these three times.
 */
const MIN_CALLER_TIMEOUT_MS = 2_000;
const CALLER_TIMEOUT_LATENCY_OBJECTIVES = 4;
const CALLER_TIMEOUT_PAUSE_OBJECTIVES = 8;

/** Timeouts, in milliseconds, after which a request is retried elsewhere. */
export const attemptTimeouts = {
  /** Time for which callers are expected to wait for the first event. */
  getCallerTimeoutMs({
    latencyObjectiveMs,
    pauseObjectiveMs = 0,
  }: Pick<Route, 'latencyObjectiveMs' | 'pauseObjectiveMs'>): number {
    return Math.max(
      MIN_CALLER_TIMEOUT_MS,
      CALLER_TIMEOUT_LATENCY_OBJECTIVES * latencyObjectiveMs,
      CALLER_TIMEOUT_PAUSE_OBJECTIVES * pauseObjectiveMs,
    );
  },

  /** Timeout for the first event, which is expected after `expectedMs`. */
  getFirstEventTimeoutMs(route: Route, expectedMs: number): number {
    return Math.max(
      FIRST_EVENT_FACTOR * expectedMs + FIRST_EVENT_SLACK_MS,
      Math.min(
        CALLER_TIMEOUT_SHARE * attemptTimeouts.getCallerTimeoutMs(route),
        MAX_CALLER_TIMEOUT_SHARE_MS,
      ),
    );
  },

  /**
   * Delay without an event after which the engines are checked for
   * reachability.
   */
  getReachabilityCheckDelayMs(expectedMs: number): number {
    return REACHABILITY_CHECK_FACTOR * expectedMs + REACHABILITY_CHECK_SLACK_MS;
  },

  /** Timeout for the complete answer of a plain call. */
  getCallTimeoutMs(route: Route): number {
    return CALL_TIMEOUT_OBJECTIVES * route.latencyObjectiveMs;
  },

  /** Timeout between two events of a stream. */
  getEventTimeoutMs({pauseObjectiveMs = 0}: Route): number {
    return Math.max(
      MIN_EVENT_TIMEOUT_MS,
      EVENT_TIMEOUT_OBJECTIVES * pauseObjectiveMs,
    );
  },
};
