/** How a request ended at a fleet on virtual time. */
export enum SuspectFleetResult {
  ANSWERED = 'answered',
  /** Refused for good, as it is held to crash upstreams. */
  REFUSED = 'refused',
  /** Refused for now. */
  DEFERRED = 'deferred',
  /** Its upstreams crashed. */
  FAILED = 'failed',
}
