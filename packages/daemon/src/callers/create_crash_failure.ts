import {ErrorKind, Failure} from '@parsleywood/errors';

/** Creates the failure for a request that crashed several upstreams. */
export function createCrashFailure(): Failure {
  return new Failure(
    ErrorKind.REQUEST_CRASHES_UPSTREAM,
    'this request crashed several upstreams and will not be run again',
  );
}
