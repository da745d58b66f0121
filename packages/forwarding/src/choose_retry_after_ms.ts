/** Shortest retry delay after a rejection for lack of capacity. */
const MIN_RETRY_AFTER_MS = 500;
/** Longest retry delay that callers are asked for. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Returns the delay, in milliseconds, after which a caller should retry.
 *
 * @param waitMs Expected time until capacity is free; 0 or less when unknown.
 */
export function chooseRetryAfterMs(waitMs: number): number {
  return Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
}
