import type {Placement} from './placement.js';
import type {PlacementPhase} from './placement_phase.js';

/** A placement with its progress. */
export interface PlacementRecord {
  readonly placement: Placement;
  readonly placedAtMs: number;
  phase: PlacementPhase;
  /**
   * Whether a pause longer than the objective has come or is certain. Further
   * pauses then cost nothing.
   */
  hasMissedPauseObjective: boolean;
  /** Whether a suspect has met another one on an upstream. */
  hasMetSuspect: boolean;
  /** Whether another placement ran on one of its upstreams meanwhile. */
  hasMetOther: boolean;
}
