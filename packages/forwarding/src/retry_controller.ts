import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {AttemptOutcome} from './attempt_outcome.js';
import {isRepeatable} from './is_repeatable.js';
import {NextStep} from './next_step.js';
import type {Route} from './route.js';

/** Retries after attempts that did not run, on top of `maxAttempts`. */
const MAX_NOT_RUN_RETRIES = 2;
const SERVER_ERROR_STATUS = 500;
/** Remaining time below which a retry is not worth starting. */
const MIN_RETRY_TIME_MS = 20;

/**
 * Decides after each attempt of one request whether to retry, and tracks
 * whether the request may have run. Load pattern: upstreams refuse, reset or
 * fail a part of their requests while the remaining time shrinks.
 */
export class RetryController {
  private maybeRunAttempts = 0;
  private notRunAttempts = 0;

  constructor(private readonly route: Route) {}

  /** Number of attempts that have ended, with any outcome. */
  get attempts(): number {
    return this.maybeRunAttempts + this.notRunAttempts;
  }

  /** Whether an upstream may have run the request. */
  get ran(): ExecutionStatus {
    return this.maybeRunAttempts > 0
      ? ExecutionStatus.UNKNOWN
      : ExecutionStatus.NO;
  }

  /** Whether the request may run again or its stream resume elsewhere. */
  get isRepeatable(): boolean {
    return isRepeatable(this.route);
  }

  /** Whether a retry is allowed if the current attempt is cancelled now. */
  allowsRetryAfterCancel(leftMs: number): boolean {
    const isLast = this.maybeRunAttempts + 1 >= this.route.maxAttempts;
    return this.isRepeatable && !isLast && leftMs > MIN_RETRY_TIME_MS;
  }

  /**
   * Records the end of an attempt and decides the next step.
   *
   * @param status HTTP status of the answer; 0 when none arrived.
   * @param leftMs Time until the deadline of the request.
   * @param hasUpstream Whether another upstream is available for a retry.
   * @param takeRetry Takes a retry from the shared budget; false when it is
   *     used up. Not called for an attempt that was never sent.
   */
  endAttempt(
    outcome: AttemptOutcome,
    status: number,
    leftMs: number,
    hasUpstream: boolean,
    takeRetry: () => boolean,
  ): NextStep {
    if (
      outcome === AttemptOutcome.NOT_SENT ||
      outcome === AttemptOutcome.REFUSED
    ) {
      this.notRunAttempts++;
    } else {
      this.maybeRunAttempts++;
    }
    const isAnswer = outcome === AttemptOutcome.ANSWERED;
    if (isAnswer && status < SERVER_ERROR_STATUS) {
      return NextStep.FORWARD_ANSWER;
    }
    const mayRetry =
      hasUpstream && leftMs > MIN_RETRY_TIME_MS && this.hasAttemptsLeft();
    if (mayRetry && (outcome === AttemptOutcome.NOT_SENT || takeRetry())) {
      return NextStep.RETRY;
    }
    return isAnswer ? NextStep.FORWARD_ANSWER : NextStep.FAIL;
  }

  /**
   * Creates the failure for the caller; `ran` states whether a retry is safe.
   */
  createFailure(message: string, retryAfterMs: number): Failure {
    if (this.maybeRunAttempts > 0) {
      return new Failure(
        ErrorKind.UPSTREAM_FAILED,
        message,
        ExecutionStatus.UNKNOWN,
      );
    }
    const kind = ErrorKind.UPSTREAM_UNAVAILABLE;
    return new Failure(kind, message, ExecutionStatus.NO, retryAfterMs);
  }

  private hasAttemptsLeft(): boolean {
    if (this.maybeRunAttempts > 0 && !this.isRepeatable) return false;
    if (this.maybeRunAttempts >= this.route.maxAttempts) return false;
    return this.notRunAttempts <= MAX_NOT_RUN_RETRIES;
  }
}
