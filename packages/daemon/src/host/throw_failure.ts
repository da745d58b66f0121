import type {Failure} from '@parsleywood/errors';

/** Throws the failure of a result whose caller answers by exception. */
export function throwFailure(failure: Failure): never {
  throw failure;
}
