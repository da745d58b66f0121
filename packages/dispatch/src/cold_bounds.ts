/** Bounds of the requests of a second to a cold upstream, over all hosts. */
export interface ColdBounds {
  /** Factor by which a second may exceed the rate. */
  readonly overage: number;
  /** Requests of a second beyond that. */
  readonly slack: number;
}
