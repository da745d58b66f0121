import type {Route} from '@parsleywood/forwarding';
import type {RequestMetadata} from './request_metadata.js';

/** Time limit of a request when neither caller nor route sets one. */
const MAX_TIME_LIMIT_MS = 600_000;

/** Time limit of a request in milliseconds, counted from its arrival. */
export function computeTimeLimit(
  {timeLimitMs = Infinity}: RequestMetadata,
  {timeoutMs = Infinity}: Route,
): number {
  return Math.min(timeLimitMs, timeoutMs, MAX_TIME_LIMIT_MS);
}
