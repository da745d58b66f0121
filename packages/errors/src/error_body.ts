/** The one JSON shape of an error answer. */
export interface ErrorBody {
  readonly error: {
    readonly kind: string;
    readonly message: string;
    /** `no`, `yes` or `unknown`. */
    readonly ran: string;
    /** Milliseconds until coming back makes sense. */
    readonly retryAfterMs?: number;
    readonly requestId: string;
    /** For public client libraries: their error type. */
    readonly type: string;
    /** For public client libraries: the kind again. */
    readonly code: string;
    readonly param: null;
  };
}
