/** How an attempt at an upstream ended. */
export enum AttemptEnd {
  /** The whole answer came. */
  ANSWERED = 'answered',
  /** No connection was made, so nothing was sent. */
  NOT_SENT = 'not_sent',
  /** The upstream states that it did not run the request. */
  REFUSED = 'refused',
  /** The connection broke, or the answer was not a whole answer. */
  BROKEN = 'broken',
  /** Nothing came for longer than the attempt was given. */
  SILENT = 'silent',
}
