/** What a route's requests are, and so what may be repeated. */
export enum RequestKind {
  /** Idempotent; may run more than once. */
  SAFE = 'safe',
  /** Runs at most once for each request id. */
  UNSAFE = 'unsafe',
  /** Answered by a stream of events with increasing ids. */
  STREAM = 'stream',
}
