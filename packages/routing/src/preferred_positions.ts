/**
 * Positions of the engines that one host prefers among equally loaded ones: those
 * with `position % count === rank`. Hosts that have the same view of the load
 * then send their requests to different engines.
 */
export interface PreferredPositions {
  /** Index of the host among all live hosts, sorted by name. */
  readonly rank: number;
  /** Number of live hosts that share the engines. */
  readonly count: number;
}
