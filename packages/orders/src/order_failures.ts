import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';

const RETRY_AFTER_MS = 1_000;

/** The failures that a call with an idempotency key can be answered with. */
export const ORDER_FAILURES = {
  makeUndecided: (ran: ExecutionStatus.NO | ExecutionStatus.UNKNOWN) =>
    new Failure(
      ErrorKind.ORDER_UNDECIDED,
      ran === ExecutionStatus.NO
        ? 'too few hosts voted for the order; it did not run and its key never will'
        : 'too few hosts could be reached to run the order once',
      ran,
      RETRY_AFTER_MS,
    ),
  makeUnknown: (ran: ExecutionStatus = ExecutionStatus.UNKNOWN) =>
    new Failure(
      ErrorKind.ORDER_OUTCOME_UNKNOWN,
      'the order may have run at a host whose answer cannot be had',
      ran,
    ),
  makeVoid: () =>
    new Failure(
      ErrorKind.ORDER_VOID,
      'the order did not run and its key never will; use a new key',
      ExecutionStatus.NO,
    ),
  makeReused: () =>
    new Failure(
      ErrorKind.IDEMPOTENCY_KEY_REUSED,
      'the idempotency key was used before with another request',
      ExecutionStatus.UNKNOWN,
    ),
  makeExpired: () =>
    new Failure(
      ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
      'the idempotency key is past its longest age',
      ExecutionStatus.UNKNOWN,
    ),
  makeTimeLimit: () =>
    new Failure(
      ErrorKind.TIME_LIMIT,
      'the order had no outcome within the time limit',
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
