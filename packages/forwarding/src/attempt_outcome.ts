/** How an attempt at an upstream ended. */
export enum AttemptOutcome {
  /** The complete answer arrived. */
  ANSWERED = 'answered',
  /** The connection could not be established, so nothing was sent. */
  NOT_SENT = 'not_sent',
  /** Nothing was sent, as an upstream was evacuated while the attempt waited. */
  WITHDRAWN = 'withdrawn',
  /** The upstream reported that it did not run the request. */
  REFUSED = 'refused',
  /** The connection broke, or the answer was incomplete or malformed. */
  BROKEN = 'broken',
  /** Nothing arrived within the timeout of the attempt. */
  TIMED_OUT = 'silent',
}
