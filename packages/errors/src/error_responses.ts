import type {ErrorResponse} from './error_response.js';
import {ErrorKind} from './error_kind.js';

const INVALID_REQUEST_ERROR = 'invalid_request_error';
const CONFLICT_ERROR = 'conflict_error';
const RATE_LIMIT_ERROR = 'rate_limit_error';
const SERVER_ERROR = 'server_error';

/** HTTP response of each error kind. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.INVALID_REQUEST]: makePermanentResponse(
    400,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.UNAUTHENTICATED]: makePermanentResponse(
    401,
    'authentication_error',
  ),
  [ErrorKind.UNKNOWN_MODEL]: makePermanentResponse(404, INVALID_REQUEST_ERROR),
  [ErrorKind.UNKNOWN_CALL]: makePermanentResponse(404, INVALID_REQUEST_ERROR),
  [ErrorKind.NOT_FOUND]: makePermanentResponse(404, INVALID_REQUEST_ERROR),
  [ErrorKind.BODY_TOO_LARGE]: makePermanentResponse(413, INVALID_REQUEST_ERROR),
  [ErrorKind.HEADERS_TOO_LARGE]: makePermanentResponse(
    431,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.BODY_TIMEOUT]: makePermanentResponse(408, INVALID_REQUEST_ERROR),
  [ErrorKind.PROMPT_TOO_LONG]: makePermanentResponse(
    400,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.IDEMPOTENCY_KEY_MISSING]: makePermanentResponse(
    400,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.IDEMPOTENCY_KEY_REUSED]: makePermanentResponse(
    422,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.IDEMPOTENCY_KEY_EXPIRED]: makePermanentResponse(
    410,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.ORDER_OUTCOME_UNKNOWN]: makePermanentResponse(409, CONFLICT_ERROR),
  [ErrorKind.ORDER_VOID]: makePermanentResponse(409, CONFLICT_ERROR),
  [ErrorKind.ORDER_UNDECIDED]: makeRetryableResponse(503, SERVER_ERROR),
  [ErrorKind.ACCOUNT_LIMIT]: makeRetryableResponse(429, RATE_LIMIT_ERROR),
  [ErrorKind.OVERLOADED]: makeRetryableResponse(503, SERVER_ERROR),
  [ErrorKind.TIME_LIMIT]: makeRetryableResponse(504, SERVER_ERROR),
  [ErrorKind.REQUEST_CRASHES_UPSTREAM]: makePermanentResponse(
    422,
    INVALID_REQUEST_ERROR,
  ),
  [ErrorKind.UPSTREAM_UNAVAILABLE]: makeRetryableResponse(503, SERVER_ERROR),
  [ErrorKind.UPSTREAM_FAILED]: makeRetryableResponse(502, SERVER_ERROR),
  [ErrorKind.HOST_UNAVAILABLE]: makeRetryableResponse(503, SERVER_ERROR),
  [ErrorKind.CALLER_GONE]: makePermanentResponse(499, INVALID_REQUEST_ERROR),
  [ErrorKind.INTERNAL]: makePermanentResponse(500, SERVER_ERROR),
};

function makePermanentResponse(status: number, type: string): ErrorResponse {
  return {status, type, retryable: false};
}

function makeRetryableResponse(status: number, type: string): ErrorResponse {
  return {status, type, retryable: true};
}
