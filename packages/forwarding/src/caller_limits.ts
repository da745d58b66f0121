/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time that a connection stays open between requests. */
  readonly idleTimeoutMs: number;
}
