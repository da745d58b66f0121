import type {Answer} from './answer.js';
import {ErrorKind} from './error_kind.js';

const INVALID = 'invalid_request_error';
const CONFLICT = 'conflict_error';
const RATE = 'rate_limit_error';
const SERVER = 'server_error';

/** The table from error kind to answer. */
export const ANSWERS: Readonly<Record<ErrorKind, Answer>> = {
  [ErrorKind.INVALID_REQUEST]: answerFinally(400, INVALID),
  [ErrorKind.UNAUTHENTICATED]: answerFinally(401, 'authentication_error'),
  [ErrorKind.UNKNOWN_MODEL]: answerFinally(404, INVALID),
  [ErrorKind.UNKNOWN_CALL]: answerFinally(404, INVALID),
  [ErrorKind.NOT_FOUND]: answerFinally(404, INVALID),
  [ErrorKind.BODY_TOO_LARGE]: answerFinally(413, INVALID),
  [ErrorKind.HEADERS_TOO_LARGE]: answerFinally(431, INVALID),
  [ErrorKind.BODY_TIMEOUT]: answerFinally(408, INVALID),
  [ErrorKind.PROMPT_TOO_LONG]: answerFinally(400, INVALID),
  [ErrorKind.IDEMPOTENCY_KEY_MISSING]: answerFinally(400, INVALID),
  [ErrorKind.IDEMPOTENCY_KEY_REUSED]: answerFinally(422, INVALID),
  [ErrorKind.IDEMPOTENCY_KEY_EXPIRED]: answerFinally(410, INVALID),
  [ErrorKind.ORDER_OUTCOME_UNKNOWN]: answerFinally(409, CONFLICT),
  [ErrorKind.ORDER_VOID]: answerFinally(409, CONFLICT),
  [ErrorKind.ORDER_UNDECIDED]: answerForNow(503, SERVER),
  [ErrorKind.ACCOUNT_LIMIT]: answerForNow(429, RATE),
  [ErrorKind.OVERLOADED]: answerForNow(503, SERVER),
  [ErrorKind.TIME_LIMIT]: answerForNow(504, SERVER),
  [ErrorKind.REQUEST_CRASHES_UPSTREAM]: answerFinally(422, INVALID),
  [ErrorKind.UPSTREAM_UNAVAILABLE]: answerForNow(503, SERVER),
  [ErrorKind.UPSTREAM_FAILED]: answerForNow(502, SERVER),
  [ErrorKind.HOST_UNAVAILABLE]: answerForNow(503, SERVER),
  [ErrorKind.CALLER_GONE]: answerFinally(499, INVALID),
  [ErrorKind.INTERNAL]: answerFinally(500, SERVER),
};

function answerFinally(status: number, type: string): Answer {
  return {status, type, comeBack: false};
}

function answerForNow(status: number, type: string): Answer {
  return {status, type, comeBack: true};
}
