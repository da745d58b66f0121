import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  formatFailure,
  type Failure,
} from '@parsleywood/errors';
import type {ReplyHead} from './reply_head.js';

const MS_PER_SECOND = 1_000;
/** Longest time for which the rest of a refused body is read. */
const MAX_DISCARD_MS = 2_000;

/** Answers a request with the one error shape. */
export function writeFailure(
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  head: ReplyHead,
): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify(formatFailure(failure, requestId));
  const retryAfter =
    failure.retryAfterMs === undefined
      ? {}
      : {
          'retry-after': String(
            Math.ceil(failure.retryAfterMs / MS_PER_SECOND),
          ),
          'retry-after-ms': String(Math.ceil(failure.retryAfterMs)),
        };
  response.writeHead(ERROR_RESPONSES[failure.kind].status, {
    ...head,
    ...retryAfter,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  endAfterRequest(response, body);
}

/**
 * Sends the answer at once, and ends it when the request's body is over, since
 * closing a connection with unread bytes can destroy the answer on its way.
 */
function endAfterRequest(response: ServerResponse, body: string): void {
  const request = response.req;
  if (request.complete || request.destroyed) {
    response.end(body);
    return;
  }
  response.write(body);
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, MAX_DISCARD_MS);
  request.once('end', end);
  request.once('close', end);
  request.resume();
}
