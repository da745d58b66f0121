import type {Placement} from './placement.js';
import type {PlacementPhase} from './placement_phase.js';

/** A placement and how far it has come. */
export interface PlacementRecord {
  readonly placement: Placement;
  readonly placedAtMs: number;
  phase: PlacementPhase;
  /** Whether a pause beyond its objective is certain, so another costs nothing. */
  hasPaused: boolean;
}
