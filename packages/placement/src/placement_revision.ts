/** Revisions of the inputs of a plan; none of them ever decreases on a host. */
export interface PlacementRevision {
  readonly base: number;
  readonly overlay: number;
  readonly upstreams: number;
}
