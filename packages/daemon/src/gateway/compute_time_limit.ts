import type {Route} from '@parsleywood/forwarding';
import type {RequestFacts} from './request_metadata.js';

/** Longest time of a request where neither caller nor route has a limit. */
const MAX_TIME_LIMIT_MS = 600_000;

/** Time within which a request has its final answer, from its arrival. */
export function findTimeLimit(
  {timeLimitMs = Infinity}: RequestFacts,
  {timeoutMs = Infinity}: Route,
): number {
  return Math.min(timeLimitMs, timeoutMs, MAX_TIME_LIMIT_MS);
}
