/** How a request ended that was not ended by a failure of this host. */
export enum SessionOutcome {
  ANSWERED = 'answered',
  /** The upstream's own failure was passed on. */
  UPSTREAM_ERROR = 'upstream_error',
  CALLER_GONE = 'caller_gone',
}
