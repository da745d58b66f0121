/** Positions of a class in the rendezvous order of a model's engines. */
export interface Lane {
  /** First position. */
  readonly start: number;
  /** Position past the last one. */
  readonly end: number;
}
