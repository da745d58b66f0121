import type {Placement} from './placement.js';
import type {PlacementPhase} from './placement_phase.js';

/** A placement and how far it has come. */
export interface PlacementRecord {
  readonly placement: Placement;
  readonly placedAtMs: number;
  phase: PlacementPhase;
  /** When its first event came; 0 before. */
  writingSinceMs: number;
}
