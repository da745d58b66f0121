import type {PlacementPart} from './placement_part.js';

/** Which engines read a prompt. */
export interface ReadPlan {
  /** What each engine reads; the first one answers. */
  readonly parts: readonly PlacementPart[];
  /** Expected time to the first event, in milliseconds. */
  readonly expectedMs: number;
}
