/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept open, in milliseconds. */
  readonly idleTimeoutMs: number;
}
