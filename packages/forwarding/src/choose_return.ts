/** Least time to come back after a refusal for want of room, in milliseconds. */
const MIN_RETURN_MS = 500;
/** Longest time after which callers are asked to come back, in milliseconds. */
const MAX_RETURN_MS = 3_000;

/**
 * Chooses when a caller should come back.
 *
 * @param waitMs Time until there is room; 0 or below when unknown.
 */
export function chooseReturn(waitMs: number): number {
  return Math.min(Math.max(waitMs, MIN_RETURN_MS), MAX_RETURN_MS);
}
