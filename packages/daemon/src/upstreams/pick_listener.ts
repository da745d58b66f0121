import type {Failure} from '@parsleywood/errors';
import type {EnginePick} from './engine_pick.js';

/** Hears which engine is picked for an attempt. */
export interface PickListener {
  onPicked(pick: EnginePick): void;
  onPickFailed(failure: Failure): void;
  /** The pick is lost while the attempt runs. */
  onPickLost(): void;
}
