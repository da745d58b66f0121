import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {chooseRetryAfterMs} from '@parsleywood/forwarding';
import type {AttemptPlacer} from './attempt_placer.js';

/**
 * Creates the failure of a request that no upstream can accept.
 *
 * @param waitMs Time until capacity is expected; 0 or below when unknown.
 */
export function createCapacityFailure(
  {isPromptTooLong, service, hasUpstreams, exclusion}: AttemptPlacer,
  waitMs: number,
): Failure {
  if (isPromptTooLong) {
    return new Failure(
      ErrorKind.PROMPT_TOO_LONG,
      'prompt exceeds the memory of every possible set of engines',
    );
  }
  if (exclusion !== undefined) {
    return new Failure(
      ErrorKind.UPSTREAM_UNAVAILABLE,
      `no upstream available for service ${service}: ${exclusion}`,
      ExecutionStatus.NO,
      // Capacity that becomes free does not end an evacuation.
      chooseRetryAfterMs(Infinity),
    );
  }
  const [kind, message] = hasUpstreams
    ? [ErrorKind.OVERLOADED, `no capacity at service ${service}`]
    : [
        ErrorKind.UPSTREAM_UNAVAILABLE,
        `no upstream available for service ${service}`,
      ];
  const retryAfterMs = chooseRetryAfterMs(waitMs);
  return new Failure(kind, message, ExecutionStatus.NO, retryAfterMs);
}
