import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import {Result} from 'true-myth';
import type {ServiceAnswer} from '../upstreams/service_answer.js';

const ERROR_KINDS = new Set<string>(Object.values(ErrorKind));

/**
 * Decodes the result of an order that a peer sent. An unknown kind of failure
 * is read as `INTERNAL`.
 */
export function readOutcome(
  outcome: OrderOutcome,
): Result<ServiceAnswer, Failure> {
  const {status, contentType, body} = outcome;
  if (outcome.failureKind === '') {
    return Result.ok({status, contentType, body: Buffer.from(body)});
  }
  const kind = ERROR_KINDS.has(outcome.failureKind)
    ? (outcome.failureKind as ErrorKind)
    : ErrorKind.INTERNAL;
  return Result.err(
    new Failure(
      kind,
      outcome.failureMessage,
      parseRan(outcome.ran),
      outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined,
    ),
  );
}

function parseRan(text: string): ExecutionStatus {
  if (text === 'no') return ExecutionStatus.NO;
  return text === 'yes' ? ExecutionStatus.YES : ExecutionStatus.UNKNOWN;
}
