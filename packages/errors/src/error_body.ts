/** JSON body of every error response. */
export interface ErrorBody {
  readonly error: {
    readonly kind: string;
    readonly message: string;
    /** Whether an upstream ran the request: `no`, `yes` or `unknown`. */
    readonly ran: string;
    /**
     * Delay before a retry, in milliseconds; absent when a retry cannot help.
     */
    readonly retryAfterMs?: number;
    readonly requestId: string;
    /** Error type that public client libraries expect. */
    readonly type: string;
    /** Same as `kind`; public client libraries read it under this name. */
    readonly code: string;
    readonly param: null;
  };
}
