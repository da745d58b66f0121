import type {PlacedAttempt} from './placed_attempt.js';

/** Placement of an attempt that is set aside and keeps its capacity. */
export interface SuspendedPlacement {
  readonly placed: PlacedAttempt;
  /** Whether events of the attempt have arrived. */
  readonly isDecoding: boolean;
}
