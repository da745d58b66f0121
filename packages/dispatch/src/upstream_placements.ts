import type {PlacementRecord} from './placement_record.js';

/** Open placements at one upstream. */
export interface UpstreamPlacements {
  /** Placements with a part at the upstream, in the order of their arrival. */
  readonly records: readonly PlacementRecord[];
  /** When the upstream last finished a prefill, in milliseconds; 0 for never. */
  readonly lastPrefillEndMs: number;
}
