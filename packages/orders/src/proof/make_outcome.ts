import type {ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';

/** Makes an outcome without a body; an empty failure kind means success. */
export function makeOutcome(
  failureKind: string,
  ran: ExecutionStatus,
): OrderOutcome {
  return {
    status: 200,
    contentType: 'application/json',
    body: Buffer.alloc(0),
    failureKind,
    failureMessage: '',
    ran,
    retryAfterMs: 0,
  };
}
