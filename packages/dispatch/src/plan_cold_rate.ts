import type {ColdStart} from '@parsleywood/forwarding';
import type {ColdBounds} from './cold_bounds.js';
import type {ColdRate} from './cold_rate.js';

/** Rate below which bounds that leave hardly any room are not cut, in requests a second. */
const MIN_PER_SECOND = 0.5;

/**
 * Divides the rate of a cold upstream. Each owner has one token, so that a second has
 * as many requests more than the rate as there are owners. They may use half of what
 * the bound allows beyond the rate; the other half is for hosts of another view.
 */
export function planColdRate(
  {durationMs, requestsPerSecond}: ColdStart,
  {overage, slack}: ColdBounds,
): ColdRate {
  const bound = requestsPerSecond * overage + slack;
  const excess = bound - requestsPerSecond;
  const owners = Math.max(1, Math.floor(excess / 2));
  const perSecond = Math.min(
    requestsPerSecond,
    Math.max(bound - owners, MIN_PER_SECOND),
  );
  return {durationMs, perSecond, owners};
}
