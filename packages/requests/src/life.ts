import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import type {Decision} from '@parsleywood/types';
import type {Attempt} from './attempt.js';
import {AttemptFault} from './attempt_fault.js';
import type {LifeAction} from './life_action.js';
import {LifeActionKind} from './life_action_kind.js';
import type {LifeEvent} from './life_event.js';
import {LifeEventKind} from './life_event_kind.js';
import type {LifeOptions} from './life_options.js';
import {LifePhase} from './life_phase.js';

/** Time after which a request that failed upstream may come back. */
const RETRY_AFTER_MS = 500;

const NOT_RUN: ReadonlySet<AttemptFault> = new Set([
  AttemptFault.REFUSED,
  AttemptFault.LEAVING,
  AttemptFault.UNREACHABLE,
]);

/**
 * The life of one request that may be repeated: it moves between upstreams,
 * continues at the exact position, and ends by its deadline.
 */
export class Life implements Decision<LifeEvent, LifeAction> {
  private phase = LifePhase.QUEUED;
  private attempt: Attempt | undefined;
  private attempts = 0;
  private nextPosition = 0;
  private readonly failedUpstreams: string[] = [];
  private dropped = 0;
  private mayHaveRun = false;

  constructor(private readonly options: LifeOptions) {}

  /** Events of other attempts or of positions already passed on. */
  droppedEvents(): number {
    return this.dropped;
  }

  /** Whether the request has its final answer. */
  isOver(): boolean {
    return this.phase === LifePhase.OVER;
  }

  /** Number of attempts so far. */
  attemptCount(): number {
    return this.attempts;
  }

  handle(event: LifeEvent, nowMs: number): LifeAction[] {
    if (this.phase === LifePhase.OVER) return [];
    if (event.kind === LifeEventKind.CALLER_GONE) {
      return this.fail(ErrorKind.CALLER_GONE, 'the caller closed the request');
    }
    if (nowMs >= this.options.deadlineMs) return this.failAtDeadline();
    switch (event.kind) {
      case LifeEventKind.ADMITTED:
        return this.choose();
      case LifeEventKind.REFUSED:
        return this.conclude(event.failure);
      case LifeEventKind.CHOSEN:
        return this.start(event.upstream, nowMs);
      case LifeEventKind.NONE_CHOSEN:
        return this.failUnchosen(event.failure);
      case LifeEventKind.WAKE:
        return this.checkSilence(nowMs);
      default:
        return this.handleAttemptEvent(event, nowMs);
    }
  }

  wakeAtMs(): number {
    if (this.phase === LifePhase.OVER) return Infinity;
    if (this.attempt === undefined) return this.options.deadlineMs;
    return Math.min(
      this.options.deadlineMs,
      this.attempt.aliveAtMs + this.options.silenceMs,
    );
  }

  private handleAttemptEvent(
    event: Extract<LifeEvent, {readonly attempt: string}>,
    nowMs: number,
  ): LifeAction[] {
    const attempt = this.attempt;
    if (attempt === undefined || event.attempt !== attempt.id) {
      this.dropped++;
      return [];
    }
    attempt.aliveAtMs = nowMs;
    switch (event.kind) {
      case LifeEventKind.ALIVE:
        return [];
      case LifeEventKind.TEXT:
        return this.takeText(attempt, event.position, event.text);
      case LifeEventKind.END:
        if (event.position !== this.nextPosition) {
          return this.abandon(attempt, AttemptFault.GAP);
        }
        this.phase = LifePhase.OVER;
        return [
          {
            kind: LifeActionKind.FINISH,
            attempt: attempt.id,
            finish: event.finish,
            usage: event.usage,
          },
        ];
      case LifeEventKind.ATTEMPT_FAILED:
        return this.moveOn(attempt, event.fault, event.detail);
    }
  }

  private choose(): LifeAction[] {
    this.phase = LifePhase.CHOOSING;
    return [{kind: LifeActionKind.CHOOSE, excluded: [...this.failedUpstreams]}];
  }

  private start(upstream: string, nowMs: number): LifeAction[] {
    if (this.phase !== LifePhase.CHOOSING) return [];
    this.phase = LifePhase.RUNNING;
    this.attempts++;
    const id = `${this.options.requestId}.${this.attempts}`;
    this.attempt = {id, upstream, aliveAtMs: nowMs};
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

  private takeText(
    attempt: Attempt,
    position: number,
    text: string,
  ): LifeAction[] {
    if (position < this.nextPosition) {
      this.dropped++;
      return [];
    }
    if (position > this.nextPosition) {
      return this.abandon(attempt, AttemptFault.GAP);
    }
    this.nextPosition++;
    return [{kind: LifeActionKind.EMIT, text, position}];
  }

  private checkSilence(nowMs: number): LifeAction[] {
    const attempt = this.attempt;
    if (attempt === undefined) return [];
    if (nowMs < attempt.aliveAtMs + this.options.silenceMs) return [];
    return this.abandon(attempt, AttemptFault.SILENT);
  }

  /** Drops an attempt that the upstream may still be working on. */
  private abandon(attempt: Attempt, fault: AttemptFault): LifeAction[] {
    const cancel: LifeAction = {
      kind: LifeActionKind.CANCEL_ATTEMPT,
      attempt: attempt.id,
      upstream: attempt.upstream,
      fault,
    };
    return [cancel, ...this.moveOn(attempt, fault, `answer ${fault}`)];
  }

  private moveOn(
    attempt: Attempt,
    fault: AttemptFault,
    detail: string,
  ): LifeAction[] {
    this.attempt = undefined;
    this.failedUpstreams.push(attempt.upstream);
    this.mayHaveRun ||= !NOT_RUN.has(fault);
    const where = `upstream "${attempt.upstream}": ${detail}`;
    if (fault === AttemptFault.INVALID) {
      return this.fail(ErrorKind.INVALID_REQUEST, where);
    }
    if (this.attempts >= this.options.maxAttempts || !this.options.mayRetry()) {
      return this.fail(ErrorKind.UPSTREAM_FAILED, where, RETRY_AFTER_MS);
    }
    return this.choose();
  }

  /** An earlier attempt may have run although no upstream is left. */
  private failUnchosen({kind, message, retryAfterMs}: Failure): LifeAction[] {
    return this.fail(kind, message, retryAfterMs);
  }

  private failAtDeadline(): LifeAction[] {
    return this.fail(
      ErrorKind.TIME_LIMIT,
      `the time limit passed after ${this.nextPosition} tokens`,
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
      ...this.conclude(new Failure(kind, message, ran, retryAfterMs)),
    );
    return actions;
  }

  private conclude(failure: Failure): LifeAction[] {
    this.phase = LifePhase.OVER;
    this.attempt = undefined;
    return [{kind: LifeActionKind.FAIL, failure}];
  }
}
