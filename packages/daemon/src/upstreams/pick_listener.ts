import type {Failure} from '@parsleywood/errors';
import type {EnginePick} from './engine_pick.js';

/** Receives the result of `EnginePicker.pick`. */
export interface PickListener {
  onPicked(pick: EnginePick): void;
  onPickFailed(failure: Failure): void;
  /** A reserved engine is lost while the attempt runs. */
  onPickLost(): void;
}
