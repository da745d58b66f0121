import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';

/** Delay before a retry; other hosts are available at once. */
const RETRY_AFTER_MS = 50;

/** Creates the failure of a request that a stopping host has not run. */
export function createStoppingFailure(): Failure {
  return new Failure(
    ErrorKind.HOST_UNAVAILABLE,
    'host is stopping',
    ExecutionStatus.NO,
    RETRY_AFTER_MS,
  );
}
