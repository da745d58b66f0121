/** State of a claim that this host issued. */
export enum ClaimState {
  COLLECTING = 'collecting',
  /** Sent to the upstream; never dispatched again. */
  DISPATCHED = 'dispatched',
  /** Dispatched, with a known outcome. */
  FINISHED = 'finished',
  /** Never dispatched, because callers were told that the order did not run. */
  ABANDONED = 'abandoned',
}
