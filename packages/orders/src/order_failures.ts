import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';

const RETRY_AFTER_MS = 1_000;

/** Makes the failures that can answer a call with an idempotency key. */
export const ORDER_FAILURES = {
  makeUndecided: (ran: ExecutionStatus.NO | ExecutionStatus.UNKNOWN) =>
    new Failure(
      ErrorKind.ORDER_UNDECIDED,
      ran === ExecutionStatus.NO
        ? 'too few hosts voted for the order; it did not run and never will under this idempotency key'
        : 'no quorum of hosts granted the order; whether it ran before is unknown',
      ran,
      RETRY_AFTER_MS,
    ),
  makeUnknown: (ran: ExecutionStatus = ExecutionStatus.UNKNOWN) =>
    new Failure(
      ErrorKind.ORDER_OUTCOME_UNKNOWN,
      'the order may have run, but its outcome is not available',
      ran,
    ),
  makeVoid: () =>
    new Failure(
      ErrorKind.ORDER_VOID,
      'the order did not run and never will under this idempotency key; use a new key',
      ExecutionStatus.NO,
    ),
  makeReused: () =>
    new Failure(
      ErrorKind.IDEMPOTENCY_KEY_REUSED,
      'the idempotency key was already used with a different request',
      ExecutionStatus.UNKNOWN,
    ),
  makeExpired: () =>
    new Failure(
      ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
      'the idempotency key is older than the maximum age',
      ExecutionStatus.UNKNOWN,
    ),
  makeTimeLimit: () =>
    new Failure(
      ErrorKind.TIME_LIMIT,
      'the outcome of the order was not known within the time limit',
      ExecutionStatus.UNKNOWN,
      RETRY_AFTER_MS,
    ),
  makeUnavailable: () =>
    new Failure(
      ErrorKind.HOST_UNAVAILABLE,
      'this host is starting or stopping',
      ExecutionStatus.UNKNOWN,
      RETRY_AFTER_MS,
    ),
} as const;
