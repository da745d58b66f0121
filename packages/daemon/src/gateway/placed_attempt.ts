import type {Placement, UpstreamChoice} from '@parsleywood/dispatch';

/** An attempt that was placed, with its place in the books of all hosts. */
export interface PlacedAttempt {
  readonly choice: UpstreamChoice;
  readonly placement: Placement;
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
}
