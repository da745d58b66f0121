import type {Placement, UpstreamChoice} from '@parsleywood/dispatch';

/** An attempt with its upstreams, and its placement as recorded on all hosts. */
export interface PlacedAttempt {
  readonly choice: UpstreamChoice;
  readonly placement: Placement;
  /** Monotonic time of the placement. */
  readonly placedAtMs: number;
}
