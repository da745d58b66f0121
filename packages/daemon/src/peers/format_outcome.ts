import {ExecutionStatus, type Failure} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Result} from 'true-myth';
import type {ServiceAnswer} from '../upstreams/service_answer.js';

/** Formats the end of an order for peers. */
export function formatOutcome(
  result: Result<ServiceAnswer, Failure>,
): OrderOutcome {
  if (result.isOk) {
    const {status, contentType, body} = result.value;
    return {
      ...{status, contentType, body},
      failureKind: '',
      failureMessage: '',
      ran: ExecutionStatus.YES,
      retryAfterMs: 0,
    };
  }
  const {kind, message, ran, retryAfterMs} = result.error;
  return {
    status: 0,
    contentType: '',
    body: Buffer.alloc(0),
    failureKind: kind,
    failureMessage: message,
    ran,
    retryAfterMs: Math.ceil(retryAfterMs ?? 0),
  };
}
