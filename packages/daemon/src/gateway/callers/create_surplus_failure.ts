import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';

const RETRY_AFTER_MS = 1_000;

/** Creates the failure for a request beside which too many connections have one. */
export function createSurplusFailure(): Failure {
  return new Failure(
    ErrorKind.OVERLOADED,
    'too many open connections',
    ExecutionStatus.NO,
    RETRY_AFTER_MS,
  );
}
