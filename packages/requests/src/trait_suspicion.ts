/** Traits of requests that explain the crashes of several upstreams. */
export interface TraitSuspicion {
  /**
   * Sorted. Several traits that occurred only together: requests that have all of
   * them are suspected.
   */
  readonly traits: readonly string[];
  /** Number of crashes that the traits explain. */
  readonly crashes: number;
  /**
   * Whether nothing else explains the crashes, and one of them came of an attempt
   * that was started after another one, so that they do not tell of one outage.
   */
  readonly isConfirmed: boolean;
}
