import type {Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';

/** Passes one answer on to its caller. */
export interface Delivery {
  emit(text: string): void;
  finish(finish: FinishReason, usage: Usage): void;
  fail(failure: Failure): void;
}
