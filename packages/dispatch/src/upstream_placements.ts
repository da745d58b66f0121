import type {PlacementRecord} from './placement_record.js';

/** All placements that concern one upstream, in the order of their sending. */
export interface UpstreamWork {
  /** Placements of which the upstream reads a part. */
  readonly records: readonly PlacementRecord[];
  /** When the upstream last finished reading something; 0 for never. */
  readonly lastReadEndMs: number;
}
