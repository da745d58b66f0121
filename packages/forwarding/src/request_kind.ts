/** Determines whether the requests of a route may be retried. */
export enum RequestKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT = 'safe',
  /** Non-idempotent: runs at most once for each request id. */
  NON_IDEMPOTENT = 'unsafe',
  /** Answered with a stream of events whose ids increase. */
  STREAM = 'stream',
}
