import type {ErrorBody} from './error_body.js';
import {ERROR_RESPONSES} from './error_responses.js';
import type {Failure} from './failure.js';

/** Formats a failure as the JSON body of the error response. */
export function formatFailure(failure: Failure, requestId: string): ErrorBody {
  const retryAfter =
    failure.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: failure.retryAfterMs};
  return {
    error: {
      kind: failure.kind,
      message: failure.message,
      ran: failure.ran,
      ...retryAfter,
      requestId,
      type: ERROR_RESPONSES[failure.kind].type,
      code: failure.kind,
      param: null,
    },
  };
}
