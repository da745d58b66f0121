import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import type {Decision} from '@parsleywood/types';
import type {Attempt} from './attempt.js';
import {AttemptFault} from './attempt_fault.js';
import type {RequestAction} from './request_action.js';
import {RequestActionKind} from './request_action_kind.js';
import type {RequestEvent} from './request_event.js';
import {RequestEventKind} from './request_event_kind.js';
import type {RequestLifecycleOptions} from './request_lifecycle_options.js';
import {RequestPhase} from './request_phase.js';

/** Delay that callers are asked to wait before they repeat a failed request. */
const RETRY_AFTER_MS = 500;

/** Faults after which the upstream has certainly not run the attempt. */
const NOT_RUN_FAULTS: ReadonlySet<AttemptFault> = new Set([
  AttemptFault.REFUSED,
  AttemptFault.SHUTTING_DOWN,
  AttemptFault.UNREACHABLE,
]);

/**
 * State machine of one idempotent request. When an attempt fails, the request
 * is retried on another upstream and resumes at the exact output position. It
 * ends by its deadline.
 */
export class RequestLifecycle implements Decision<RequestEvent, RequestAction> {
  private phase = RequestPhase.QUEUED;
  private attempt: Attempt | undefined;
  private attempts = 0;
  private nextPosition = 0;
  private readonly failedUpstreams: string[] = [];
  private droppedEventCount = 0;
  private mayHaveRun = false;

  constructor(private readonly options: RequestLifecycleOptions) {}

  /**
   * Number of ignored events: from earlier attempts, or for positions already
   * emitted.
   */
  countDroppedEvents(): number {
    return this.droppedEventCount;
  }

  /** Whether the request has completed or failed. */
  isFinished(): boolean {
    return this.phase === RequestPhase.FINISHED;
  }

  /** Number of attempts started so far. */
  countAttempts(): number {
    return this.attempts;
  }

  handle(event: RequestEvent, nowMs: number): RequestAction[] {
    if (this.phase === RequestPhase.FINISHED) return [];
    if (event.kind === RequestEventKind.CALLER_GONE) {
      return this.fail(
        ErrorKind.CALLER_GONE,
        'the caller closed the connection before the answer was complete',
      );
    }
    if (nowMs >= this.options.deadlineMs) return this.failAtDeadline();
    switch (event.kind) {
      case RequestEventKind.ADMITTED:
        return this.chooseUpstream();
      case RequestEventKind.REFUSED:
        return this.finishWithFailure(event.failure);
      case RequestEventKind.UPSTREAM_CHOSEN:
        return this.startAttempt(event.upstream, nowMs);
      case RequestEventKind.NO_UPSTREAM:
        return this.failWithoutUpstream(event.failure);
      case RequestEventKind.WAKE:
        return this.checkIdleTimeout(nowMs);
      default:
        return this.handleAttemptEvent(event, nowMs);
    }
  }

  wakeAtMs(): number {
    if (this.phase === RequestPhase.FINISHED) return Infinity;
    if (this.attempt === undefined) return this.options.deadlineMs;
    return Math.min(
      this.options.deadlineMs,
      this.attempt.lastActivityAtMs + this.options.attemptIdleTimeoutMs,
    );
  }

  private handleAttemptEvent(
    event: Extract<RequestEvent, {readonly attempt: string}>,
    nowMs: number,
  ): RequestAction[] {
    const attempt = this.attempt;
    if (attempt === undefined || event.attempt !== attempt.id) {
      this.droppedEventCount++;
      return [];
    }
    attempt.lastActivityAtMs = nowMs;
    switch (event.kind) {
      case RequestEventKind.PROGRESS:
        return [];
      case RequestEventKind.TEXT:
        return this.handleText(attempt, event.position, event.text);
      case RequestEventKind.END:
        if (event.position !== this.nextPosition) {
          return this.cancelAttempt(attempt, AttemptFault.GAP);
        }
        this.phase = RequestPhase.FINISHED;
        return [
          {
            kind: RequestActionKind.FINISH,
            attempt: attempt.id,
            finish: event.finish,
            usage: event.usage,
          },
        ];
      case RequestEventKind.ATTEMPT_FAILED:
        return this.handleAttemptFailure(attempt, event.fault, event.detail);
    }
  }

  private chooseUpstream(): RequestAction[] {
    this.phase = RequestPhase.CHOOSING;
    return [
      {
        kind: RequestActionKind.CHOOSE_UPSTREAM,
        excluded: [...this.failedUpstreams],
      },
    ];
  }

  private startAttempt(upstream: string, nowMs: number): RequestAction[] {
    if (this.phase !== RequestPhase.CHOOSING) return [];
    this.phase = RequestPhase.RUNNING;
    this.attempts++;
    const id = `${this.options.requestId}.${this.attempts}`;
    this.attempt = {id, upstream, lastActivityAtMs: nowMs};
    return [
      {
        kind: RequestActionKind.START_ATTEMPT,
        attempt: id,
        upstream,
        resumeFrom: this.nextPosition,
        limitMs: this.options.deadlineMs - nowMs,
      },
    ];
  }

  private handleText(
    attempt: Attempt,
    position: number,
    text: string,
  ): RequestAction[] {
    if (position < this.nextPosition) {
      this.droppedEventCount++;
      return [];
    }
    if (position > this.nextPosition) {
      return this.cancelAttempt(attempt, AttemptFault.GAP);
    }
    this.nextPosition++;
    return [{kind: RequestActionKind.EMIT, text, position}];
  }

  private checkIdleTimeout(nowMs: number): RequestAction[] {
    const attempt = this.attempt;
    if (attempt === undefined) return [];
    if (nowMs < attempt.lastActivityAtMs + this.options.attemptIdleTimeoutMs) {
      return [];
    }
    return this.cancelAttempt(attempt, AttemptFault.IDLE_TIMEOUT);
  }

  /** Cancels an attempt that the upstream may still be working on. */
  private cancelAttempt(
    attempt: Attempt,
    fault: AttemptFault,
  ): RequestAction[] {
    const cancel: RequestAction = {
      kind: RequestActionKind.CANCEL_ATTEMPT,
      attempt: attempt.id,
      upstream: attempt.upstream,
      fault,
    };
    return [
      cancel,
      ...this.handleAttemptFailure(
        attempt,
        fault,
        `attempt cancelled, fault: ${fault}`,
      ),
    ];
  }

  private handleAttemptFailure(
    attempt: Attempt,
    fault: AttemptFault,
    detail: string,
  ): RequestAction[] {
    this.attempt = undefined;
    this.failedUpstreams.push(attempt.upstream);
    this.mayHaveRun ||= !NOT_RUN_FAULTS.has(fault);
    const where = `upstream "${attempt.upstream}": ${detail}`;
    if (fault === AttemptFault.INVALID) {
      return this.fail(ErrorKind.INVALID_REQUEST, where);
    }
    if (this.attempts >= this.options.maxAttempts || !this.options.tryRetry()) {
      return this.fail(ErrorKind.UPSTREAM_FAILED, where, RETRY_AFTER_MS);
    }
    return this.chooseUpstream();
  }

  /** Replaces `ran` of the failure, because an earlier attempt may have run. */
  private failWithoutUpstream({
    kind,
    message,
    retryAfterMs,
  }: Failure): RequestAction[] {
    return this.fail(kind, message, retryAfterMs);
  }

  private failAtDeadline(): RequestAction[] {
    return this.fail(
      ErrorKind.TIME_LIMIT,
      `the request exceeded its time limit after ${this.nextPosition} output tokens`,
      RETRY_AFTER_MS,
    );
  }

  private fail(
    kind: ErrorKind,
    message: string,
    retryAfterMs?: number,
  ): RequestAction[] {
    const actions: RequestAction[] = [];
    if (this.attempt !== undefined) {
      this.mayHaveRun = true;
      actions.push({
        kind: RequestActionKind.CANCEL_ATTEMPT,
        attempt: this.attempt.id,
        upstream: this.attempt.upstream,
      });
    }
    const ran = this.mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
    actions.push(
      ...this.finishWithFailure(new Failure(kind, message, ran, retryAfterMs)),
    );
    return actions;
  }

  private finishWithFailure(failure: Failure): RequestAction[] {
    this.phase = RequestPhase.FINISHED;
    this.attempt = undefined;
    return [{kind: RequestActionKind.FAIL, failure}];
  }
}
