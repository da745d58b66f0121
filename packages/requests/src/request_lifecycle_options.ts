/** Limits on the attempts and the duration of one request. */
export interface RequestLifecycleOptions {
  /** Id of the request; the ids of its attempts start with it. */
  readonly requestId: string;
  /** Monotonic time by which the request has to be over, in milliseconds. */
  readonly deadlineMs: number;
  /**
   * Time without an event after which an attempt is cancelled, in milliseconds.
   */
  readonly attemptIdleTimeoutMs: number;
  /** Maximum number of attempts of one request. */
  readonly maxAttempts: number;
  /** Takes one retry from the host's retry budget; false when it is used up. */
  readonly tryRetry: () => boolean;
}
