/** Revisions of all that a plan is made of; none goes back on one host. */
export interface PlacementRevision {
  readonly base: number;
  readonly overlay: number;
  readonly upstreams: number;
}
