/** Kinds of failure of the store. */
export enum SourceFaultKind {
  /** The changes after a revision are no longer kept. */
  HISTORY_LOST = 'history_lost',
  /** The store asks for fewer calls. */
  RATE_LIMITED = 'rate_limited',
  /** The store refused, failed, or did not answer in time. */
  UNAVAILABLE = 'unavailable',
}
