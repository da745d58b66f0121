import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import type {Decision} from '@parsleywood/types';
import type {Attempt} from './attempt.js';
import {AttemptFault} from './attempt_fault.js';
import type {LifeAction} from './request_action.js';
import {LifeActionKind} from './request_action_kind.js';
import type {LifeEvent} from './request_event.js';
import {LifeEventKind} from './request_event_kind.js';
import type {RequestLifecycleOptions} from './request_lifecycle_options.js';
import {RequestPhase} from './request_phase.js';

/** Delay that callers are asked to wait before they repeat a failed request. */
const RETRY_AFTER_MS = 500;

/** Faults after which the upstream has certainly not run the attempt. */
const NOT_RUN_FAULTS: ReadonlySet<AttemptFault> = new Set([
  AttemptFault.REFUSED,
  AttemptFault.LEAVING,
  AttemptFault.UNREACHABLE,
]);

/**
 * State machine of one idempotent request. When an attempt fails, the request
 * is retried on another upstream and resumes at the exact output position. It
 * ends by its deadline.
 */
export class Life implements Decision<LifeEvent, LifeAction> {
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
  droppedEvents(): number {
    return this.droppedEventCount;
  }

  /** Whether the request has completed or failed. */
  isOver(): boolean {
    return this.phase === RequestPhase.FINISHED;
  }

  /** Number of attempts started so far. */
  attemptCount(): number {
    return this.attempts;
  }

  handle(event: LifeEvent, nowMs: number): LifeAction[] {
    if (this.phase === RequestPhase.FINISHED) return [];
    if (event.kind === LifeEventKind.CALLER_GONE) {
      return this.fail(
        ErrorKind.CALLER_GONE,
        'the caller closed the connection before the answer was complete',
      );
    }
    if (nowMs >= this.options.deadlineMs) return this.failAtDeadline();
    switch (event.kind) {
      case LifeEventKind.ADMITTED:
        return this.chooseUpstream();
      case LifeEventKind.REFUSED:
        return this.finishWithFailure(event.failure);
      case LifeEventKind.CHOSEN:
        return this.startAttempt(event.upstream, nowMs);
      case LifeEventKind.NONE_CHOSEN:
        return this.failWithoutUpstream(event.failure);
      case LifeEventKind.WAKE:
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
      this.attempt.lastActivityAtMs + this.options.silenceMs,
    );
  }

  private handleAttemptEvent(
    event: Extract<LifeEvent, {readonly attempt: string}>,
    nowMs: number,
  ): LifeAction[] {
    const attempt = this.attempt;
    if (attempt === undefined || event.attempt !== attempt.id) {
      this.droppedEventCount++;
      return [];
    }
    attempt.lastActivityAtMs = nowMs;
    switch (event.kind) {
      case LifeEventKind.ALIVE:
        return [];
      case LifeEventKind.TEXT:
        return this.handleText(attempt, event.position, event.text);
      case LifeEventKind.END:
        if (event.position !== this.nextPosition) {
          return this.cancelAttempt(attempt, AttemptFault.GAP);
        }
        this.phase = RequestPhase.FINISHED;
        return [
          {
            kind: LifeActionKind.FINISH,
            attempt: attempt.id,
            finish: event.finish,
            usage: event.usage,
          },
        ];
      case LifeEventKind.ATTEMPT_FAILED:
        return this.handleAttemptFailure(attempt, event.fault, event.detail);
    }
  }

  private chooseUpstream(): LifeAction[] {
    this.phase = RequestPhase.CHOOSING;
    return [{kind: LifeActionKind.CHOOSE, excluded: [...this.failedUpstreams]}];
  }

  private startAttempt(upstream: string, nowMs: number): LifeAction[] {
    if (this.phase !== RequestPhase.CHOOSING) return [];
    this.phase = RequestPhase.RUNNING;
    this.attempts++;
    const id = `${this.options.requestId}.${this.attempts}`;
    this.attempt = {id, upstream, lastActivityAtMs: nowMs};
    return [
      {
        kind: LifeActionKind.START_ATTEMPT,
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
  ): LifeAction[] {
    if (position < this.nextPosition) {
      this.droppedEventCount++;
      return [];
    }
    if (position > this.nextPosition) {
      return this.cancelAttempt(attempt, AttemptFault.GAP);
    }
    this.nextPosition++;
    return [{kind: LifeActionKind.EMIT, text, position}];
  }

  private checkIdleTimeout(nowMs: number): LifeAction[] {
    const attempt = this.attempt;
    if (attempt === undefined) return [];
    if (nowMs < attempt.lastActivityAtMs + this.options.silenceMs) {
      return [];
    }
    return this.cancelAttempt(attempt, AttemptFault.SILENT);
  }

  /** Cancels an attempt that the upstream may still be working on. */
  private cancelAttempt(attempt: Attempt, fault: AttemptFault): LifeAction[] {
    const cancel: LifeAction = {
      kind: LifeActionKind.CANCEL_ATTEMPT,
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
  ): LifeAction[] {
    this.attempt = undefined;
    this.failedUpstreams.push(attempt.upstream);
    this.mayHaveRun ||= !NOT_RUN_FAULTS.has(fault);
    const where = `upstream "${attempt.upstream}": ${detail}`;
    if (fault === AttemptFault.INVALID) {
      return this.fail(ErrorKind.INVALID_REQUEST, where);
    }
    if (this.attempts >= this.options.maxAttempts || !this.options.mayRetry()) {
      return this.fail(ErrorKind.UPSTREAM_FAILED, where, RETRY_AFTER_MS);
    }
    return this.chooseUpstream();
  }

  /** Replaces `ran` of the failure, because an earlier attempt may have run. */
  private failWithoutUpstream({
    kind,
    message,
    retryAfterMs,
  }: Failure): LifeAction[] {
    return this.fail(kind, message, retryAfterMs);
  }

  private failAtDeadline(): LifeAction[] {
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
  ): LifeAction[] {
    const actions: LifeAction[] = [];
    if (this.attempt !== undefined) {
      this.mayHaveRun = true;
      actions.push({
        kind: LifeActionKind.CANCEL_ATTEMPT,
        attempt: this.attempt.id,
        upstream: this.attempt.upstream,
      });
    }
    const ran = this.mayHaveRun ? Ran.UNKNOWN : Ran.NO;
    actions.push(
      ...this.finishWithFailure(new Failure(kind, message, ran, retryAfterMs)),
    );
    return actions;
  }

  private finishWithFailure(failure: Failure): LifeAction[] {
    this.phase = RequestPhase.FINISHED;
    this.attempt = undefined;
    return [{kind: LifeActionKind.FAIL, failure}];
  }
}
