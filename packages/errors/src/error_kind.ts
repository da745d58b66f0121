/** Every kind of error that a caller, operator or peer can be answered with. */
export enum ErrorKind {
  /** The request is malformed: syntax, types or bounds. */
  INVALID_REQUEST = 'invalid_request',
  /** No key, or one that belongs to no client account. */
  UNAUTHENTICATED = 'unauthenticated',
  /** No such model. */
  UNKNOWN_MODEL = 'unknown_model',
  /** No such service or call. */
  UNKNOWN_CALL = 'unknown_call',
  /** No such address. */
  NOT_FOUND = 'not_found',
  /** The body is larger than the limit. */
  BODY_TOO_LARGE = 'body_too_large',
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE = 'headers_too_large',
  /** The body did not arrive in time. */
  BODY_TIMEOUT = 'body_timeout',
  /** The prompt exceeds the model's context. */
  PROMPT_TOO_LONG = 'prompt_too_long',
  /** A call that may not be repeated came without an idempotency key. */
  IDEMPOTENCY_KEY_MISSING = 'idempotency_key_missing',
  /** The idempotency key was used before with another request. */
  IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused',
  /** The idempotency key is older than the longest age allowed. */
  IDEMPOTENCY_KEY_EXPIRED = 'idempotency_key_expired',
  /** The order may have run; its host is gone or its answer was lost. */
  ORDER_OUTCOME_UNKNOWN = 'order_outcome_unknown',
  /** The order did not run and its key can never run. */
  ORDER_VOID = 'order_void',
  /** Too few hosts can be reached to prove that the order runs once. */
  ORDER_UNDECIDED = 'order_undecided',
  /** The client account is over a limit of its own. */
  ACCOUNT_LIMIT = 'account_limit',
  /** The site has no room for the request in its time. */
  OVERLOADED = 'overloaded',
  /** The time limit passed. */
  TIME_LIMIT = 'time_limit',
  /** The request ended every upstream that ran it. */
  REQUEST_CRASHES_UPSTREAM = 'request_crashes_upstream',
  /** No upstream can be reached. */
  UPSTREAM_UNAVAILABLE = 'upstream_unavailable',
  /** The upstream failed while it ran the request. */
  UPSTREAM_FAILED = 'upstream_failed',
  /** This host is starting or stopping. */
  HOST_UNAVAILABLE = 'host_unavailable',
  /** The caller closed the connection. */
  CALLER_GONE = 'caller_gone',
  /** A fault of the system itself. */
  INTERNAL = 'internal',
}
