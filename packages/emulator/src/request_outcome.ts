/** How a request ended, as its caller sees it. */
export enum RequestOutcome {
  IN_TIME = 'in_time',
  /** Answered whole, but beyond an objective. */
  LATE = 'late',
  REFUSED = 'refused',
  /** The caller left, or the answer ended early. */
  FAILED = 'failed',
}
