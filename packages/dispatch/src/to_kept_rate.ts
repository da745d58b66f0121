/** One request in four seconds, over all hosts. */
const MIN_PER_SECOND = 0.25;

/**
 * Returns the rate at which a limit is kept, in requests a second. An upstream that
 * takes none is still tried, as only its answers tell that its limit has ended.
 */
export function toKeptRate(perSecond: number): number {
  return Math.max(perSecond, MIN_PER_SECOND);
}
