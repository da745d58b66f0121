/** How a request ended, except for failures that this host reports. */
export enum SessionOutcome {
  ANSWERED = 'answered',
  /** The upstream's error response was relayed to the caller. */
  UPSTREAM_ERROR = 'upstream_error',
  CALLER_GONE = 'caller_gone',
}
