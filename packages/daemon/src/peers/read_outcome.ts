import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import {Result} from 'true-myth';
import type {ServiceAnswer} from '../upstreams/service_answer.js';

const KINDS = new Set<string>(Object.values(ErrorKind));

/** Reads the end of an order as a peer sent it. */
export function readOutcome(
  outcome: OrderOutcome,
): Result<ServiceAnswer, Failure> {
  const {status, contentType, body} = outcome;
  if (outcome.failureKind === '') {
    return Result.ok({status, contentType, body: Buffer.from(body)});
  }
  const kind = KINDS.has(outcome.failureKind)
    ? (outcome.failureKind as ErrorKind)
    : ErrorKind.INTERNAL;
  return Result.err(
    new Failure(
      kind,
      outcome.failureMessage,
      readRan(outcome.ran),
      outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined,
    ),
  );
}

function readRan(text: string): ExecutionStatus {
  if (text === 'no') return ExecutionStatus.NO;
  return text === 'yes' ? ExecutionStatus.YES : ExecutionStatus.UNKNOWN;
}
