/** A call of a plain service after its checks. */
export interface ServiceCall {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly method: string;
  /** Path and query at the service. */
  readonly target: string;
  readonly contentType: string;
  /** Empty where the call may be repeated and the caller gave none. */
  readonly idempotencyKey: string;
  readonly repeatable: boolean;
  readonly body: Buffer;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
}
