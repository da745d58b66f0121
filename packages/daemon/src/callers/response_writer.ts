import type {Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';

/**
 * Writes one answer to its caller. `finish` or `fail` is called last; `emit` may
 * be called any number of times before.
 */
export interface ResponseWriter {
  emit(text: string): void;
  finish(finish: FinishReason, usage: Usage): void;
  fail(failure: Failure): void;
}
