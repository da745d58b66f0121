/** State of the store in the order of its changes. */
export interface StorePosition {
  /**
   * Number of times that the store came back from a copy and gave out revisions
   * again; 0 if it does not say so.
   */
  readonly epoch: number;
  readonly revision: number;
}
