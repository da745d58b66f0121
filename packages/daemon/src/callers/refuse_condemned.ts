import {ErrorKind, Failure} from '@parsleywood/errors';

/** Failure of a request that crashed two upstreams. */
export function refuseCondemned(): Failure {
  return new Failure(
    ErrorKind.REQUEST_CRASHES_UPSTREAM,
    'this request crashed two upstreams and is not run again',
  );
}
