import type {Failure} from '@parsleywood/errors';

/** Throws the failure of a result, where the caller expects an exception. */
export function throwFailure(failure: Failure): never {
  throw failure;
}
