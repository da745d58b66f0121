import type {Failure} from '@parsleywood/errors';
import type {Finish, Usage} from '@parsleywood/requests';

/** Passes one answer on to its caller. */
export interface ResponseWriter {
  emit(text: string): void;
  finish(finish: Finish, usage: Usage): void;
  fail(failure: Failure): void;
}
