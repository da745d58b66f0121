import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {chooseRetryAfterMs} from '@parsleywood/forwarding';
import type {AttemptPlacer} from './attempt_placer.js';
import {ExclusionReason} from './exclusion_reason.js';

const EXCLUSIONS: Readonly<Record<ExclusionReason, string>> = {
  [ExclusionReason.HOME_REGIONS]: 'none is in a home region of the request',
  [ExclusionReason.EVACUATED]: 'all are in evacuated failure domains',
};

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
      `no upstream available for service ${service}: ${EXCLUSIONS[exclusion]}`,
      ExecutionStatus.NO,
      // Capacity that becomes free elsewhere is of no use to the request.
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
