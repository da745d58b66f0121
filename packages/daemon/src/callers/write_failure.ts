import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  formatFailure,
  type Failure,
} from '@parsleywood/errors';
import {endUnread} from '../host/end_unread.js';
import type {ReplyHead} from './reply_head.js';

const MS_PER_SECOND = 1_000;
/** Limit on how long the rest of a refused request's body is read. */
const MAX_DISCARD_MS = 400;

/**
 * Answers a request with the error body that all calls share. Does nothing if
 * the response headers are already sent or the connection is closed.
 */
export function writeFailure(
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  headers: ReplyHead,
): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify(formatFailure(failure, requestId));
  const retryAfterHeaders =
    failure.retryAfterMs === undefined
      ? {}
      : {
          'retry-after': String(
            Math.ceil(failure.retryAfterMs / MS_PER_SECOND),
          ),
          'retry-after-ms': String(Math.ceil(failure.retryAfterMs)),
        };
  response.writeHead(ERROR_RESPONSES[failure.kind].status, {
    ...headers,
    ...retryAfterHeaders,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  endAfterRequest(response, body);
}

/**
 * Writes the body at once, but ends the response only after the request body is
 * read. Closing a connection with unread bytes can reset it before the caller
 * has received the answer.
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
  const timer = setTimeout(() => {
    response.shouldKeepAlive = false;
    request.pause();
    endUnread(request.socket);
    end();
  }, MAX_DISCARD_MS);
  request.once('end', end);
  request.once('close', end);
  request.resume();
}
