/** Delay while other hosts serve: callers connect to one of them next. */
const OTHERS_SERVE_MS = 50;
/**
 * Bounds of the delay while no host serves. Most callers come back only once, so
 * they should find a configuration then: a store that was unavailable is read within
 * about a second of its return.
 */
const MIN_NONE_SERVES_MS = 1_000;
const MAX_NONE_SERVES_MS = 2_500;

/**
 * Returns the Retry-After of a host without a configuration, in milliseconds. Load
 * pattern: all hosts restart at once while the store is unavailable, and all refused
 * callers would come back together, some of them too early.
 *
 * @param draw Random number in [0, 1).
 */
export function chooseStartRetryAfterMs(
  othersServe: boolean,
  draw: number,
): number {
  if (othersServe) return OTHERS_SERVE_MS;
  return MIN_NONE_SERVES_MS + draw * (MAX_NONE_SERVES_MS - MIN_NONE_SERVES_MS);
}
