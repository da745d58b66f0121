/** A validated call of a service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly method: string;
  /** Path and query of the call to the service. */
  readonly target: string;
  readonly contentType: string;
  /** Empty if the call is repeatable and the caller sent none. */
  readonly idempotencyKey: string;
  /** Whether the call is idempotent and may be retried. */
  readonly repeatable: boolean;
  readonly body: Buffer;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
}
