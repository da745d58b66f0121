import type {ServerResponse} from 'node:http';
import {ANSWERS, formatFailure, type Failure} from '@parsleywood/errors';
import type {ReplyHead} from './reply_head.js';

const MS_PER_SECOND = 1_000;

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
  response.writeHead(ANSWERS[failure.kind].status, {
    ...head,
    ...retryAfter,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  response.end(body);
}
