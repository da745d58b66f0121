/** Bounds of one request's life. */
export interface LifeOptions {
  /** Identifies the request; attempts are named after it. */
  readonly requestId: string;
  /** Monotonic time by which the request has to be over, in milliseconds. */
  readonly deadlineMs: number;
  /** Longest silence of an upstream before the attempt moves, in milliseconds. */
  readonly silenceMs: number;
  /** Most attempts of one request. */
  readonly maxAttempts: number;
  /** Asks the host's retry budget for one more attempt. */
  readonly mayRetry: () => boolean;
}
