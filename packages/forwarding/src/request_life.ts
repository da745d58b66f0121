import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {AttemptEnd} from './attempt_end.js';
import {NextStep} from './next_step.js';
import {RequestKind} from './request_kind.js';
import type {Route} from './route.js';

/** Attempts that surely did not run and are allowed beyond a route's own. */
const MAX_REFUSED_ATTEMPTS = 2;
const SERVER_ERROR_STATUS = 500;
/** Least time that an attempt needs to be worth its retry, in milliseconds. */
const MIN_ATTEMPT_MS = 20;

/**
 * Decides what follows each attempt of one request, and whether the request may
 * have run. Load pattern: upstreams that refuse, reset or fail a part of what
 * they get, while the time left shrinks.
 */
export class RequestLife {
  private maybeRun = 0;
  private surelyNotRun = 0;

  constructor(private readonly route: Route) {}

  /** Attempts so far, whatever became of them. */
  get attempts(): number {
    return this.maybeRun + this.surelyNotRun;
  }

  /** Whether an upstream may have run the request. */
  get ran(): Ran {
    return this.maybeRun > 0 ? Ran.UNKNOWN : Ran.NO;
  }

  /** Whether the request may run a second time, or go on elsewhere. */
  get isRepeatable(): boolean {
    const {kind, resumable} = this.route;
    if (kind === RequestKind.STREAM) return resumable;
    return kind === RequestKind.SAFE;
  }

  /** Whether an attempt that is given up now may be followed by another. */
  allowsMove(leftMs: number): boolean {
    const isLast = this.maybeRun + 1 >= this.route.maxAttempts;
    return this.isRepeatable && !isLast && leftMs > MIN_ATTEMPT_MS;
  }

  /**
   * Takes the end of an attempt.
   *
   * @param status Status of the answer; 0 when none came.
   * @param leftMs Time left to the request.
   * @param hasUpstream Whether another upstream could take it.
   * @param takeRetry Takes a retry from the shared budget; false when it is used
   *     up.
   */
  endAttempt(
    end: AttemptEnd,
    status: number,
    leftMs: number,
    hasUpstream: boolean,
    takeRetry: () => boolean,
  ): NextStep {
    if (end === AttemptEnd.NOT_SENT || end === AttemptEnd.REFUSED) {
      this.surelyNotRun++;
    } else {
      this.maybeRun++;
    }
    const isAnswer = end === AttemptEnd.ANSWERED;
    if (isAnswer && status < SERVER_ERROR_STATUS) return NextStep.PASS_ON;
    const mayRetry =
      hasUpstream && leftMs > MIN_ATTEMPT_MS && this.hasAttemptsLeft();
    if (mayRetry && (end === AttemptEnd.NOT_SENT || takeRetry())) {
      return NextStep.RETRY;
    }
    return isAnswer ? NextStep.PASS_ON : NextStep.FAIL;
  }

  /** The failure that tells the caller truly what became of the request. */
  describeFailure(message: string, retryAfterMs: number): Failure {
    if (this.maybeRun > 0) {
      return new Failure(ErrorKind.UPSTREAM_FAILED, message, Ran.UNKNOWN);
    }
    const kind = ErrorKind.UPSTREAM_UNAVAILABLE;
    return new Failure(kind, message, Ran.NO, retryAfterMs);
  }

  private hasAttemptsLeft(): boolean {
    if (this.maybeRun > 0 && !this.isRepeatable) return false;
    if (this.maybeRun >= this.route.maxAttempts) return false;
    return this.surelyNotRun <= MAX_REFUSED_ATTEMPTS;
  }
}
