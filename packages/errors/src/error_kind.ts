/** Every kind of error that a caller, operator or peer can receive. */
export enum ErrorKind {
  /** The request is malformed: syntax, types or bounds. */
  INVALID_REQUEST = 'invalid_request',
  /** The API key is missing or belongs to no client account. */
  UNAUTHENTICATED = 'unauthenticated',
  /** The model does not exist. */
  UNKNOWN_MODEL = 'unknown_model',
  /** The service or call does not exist. */
  UNKNOWN_CALL = 'unknown_call',
  /** No route or resource exists at the requested path. */
  NOT_FOUND = 'not_found',
  /** The body is larger than the limit. */
  BODY_TOO_LARGE = 'body_too_large',
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE = 'headers_too_large',
  /** The body did not arrive in time. */
  BODY_TIMEOUT = 'body_timeout',
  /** The prompt exceeds the model's context window. */
  PROMPT_TOO_LONG = 'prompt_too_long',
  /** A non-idempotent call arrived without an idempotency key. */
  IDEMPOTENCY_KEY_MISSING = 'idempotency_key_missing',
  /** The idempotency key was used before for a different request. */
  IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused',
  /** The idempotency key exceeds its maximum age. */
  IDEMPOTENCY_KEY_EXPIRED = 'idempotency_key_expired',
  /** The order may have run; its host failed or its response was lost. */
  ORDER_OUTCOME_UNKNOWN = 'order_outcome_unknown',
  /** The order did not run, and no later call with its key will run. */
  ORDER_VOID = 'order_void',
  /** Too few hosts are reachable to guarantee that the order runs only once. */
  ORDER_UNDECIDED = 'order_undecided',
  /** The client account exceeds one of its own limits. */
  ACCOUNT_LIMIT = 'account_limit',
  /** The site has no capacity for the request within its time limit. */
  OVERLOADED = 'overloaded',
  /** The request exceeded its time limit. */
  TIME_LIMIT = 'time_limit',
  /** The request crashed every upstream that ran it. */
  REQUEST_CRASHES_UPSTREAM = 'request_crashes_upstream',
  /** No upstream is reachable. */
  UPSTREAM_UNAVAILABLE = 'upstream_unavailable',
  /** The upstream failed while it was running the request. */
  UPSTREAM_FAILED = 'upstream_failed',
  /** This host is starting or shutting down. */
  HOST_UNAVAILABLE = 'host_unavailable',
  /** The caller closed the connection. */
  CALLER_GONE = 'caller_gone',
  /** An internal error of the serving layer. */
  INTERNAL = 'internal',
}
