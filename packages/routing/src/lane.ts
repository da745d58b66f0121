/**
 * Half-open range of positions in the rendezvous order of the engines of a
 * model.
 */
export interface Lane {
  /** First position. */
  readonly start: number;
  /** Position after the last one. */
  readonly end: number;
}
