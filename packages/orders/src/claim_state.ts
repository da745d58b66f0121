/** How far a claim of this host is. */
export enum ClaimState {
  COLLECTING = 'collecting',
  /** Dispatched once; never again. */
  DISPATCHED = 'dispatched',
  /** Dispatched, and its outcome is known. */
  FINISHED = 'finished',
  /** Proved never to run; never dispatched. */
  ABANDONED = 'abandoned',
}
