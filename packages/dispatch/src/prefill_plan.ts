import type {PlacementPart} from './placement_part.js';

/** Assignment of a prompt's prefill to engines. */
export interface PrefillPlan {
  /** Prefill work per engine; the first one answers. */
  readonly parts: readonly PlacementPart[];
  /** Expected time to the first event, in milliseconds. */
  readonly expectedMs: number;
}
