/** HTTP response that reports an error kind to the caller. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** `type` of the error as public client libraries know it. */
  readonly type: string;
  /** Whether the same request can succeed when it is sent again later. */
  readonly retryable: boolean;
}
