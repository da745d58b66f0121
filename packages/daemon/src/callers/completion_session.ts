import {setTimeout as pause} from 'node:timers/promises';
import type {ServerResponse} from 'node:http';
import {ErrorKind, type Failure} from '@parsleywood/errors';
import {
  AttemptFault,
  CrashStatus,
  RequestLifecycle,
  RequestActionKind,
  RequestEventKind,
  type FinishReason,
  type RequestAction,
  type RequestEvent,
  type SuspectState,
  type Usage,
} from '@parsleywood/requests';
import {RouterEventKind, type RoutedRequest} from '@parsleywood/routing';
import {TimelineEventName, type TimelineFields} from '@parsleywood/timeline';
import type {AdmissionListener} from '../control/admission_listener.js';
import type {AttemptListener} from '../upstreams/attempt_listener.js';
import type {CompletionRequest} from './completion_request.js';
import {createCrashFailure} from './create_crash_failure.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {ResponseWriter} from './response_writer.js';
import type {EnginePick} from '../upstreams/engine_pick.js';
import type {PickListener} from '../upstreams/pick_listener.js';
import {PriorityUpdater} from '../upstreams/priority_updater.js';
import type {Serving} from '../host/serving.js';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';

/** Time without an engine event after which another engine is tried. */
const ENGINE_IDLE_TIMEOUT_MS = 5_000;
const MAX_ATTEMPTS = 4;
const MS_PER_SECOND = 1_000;
const OK_STATUS = 200;
/** Time in which the reports of all hosts on a crash arrive and are weighed. */
const CRASH_SETTLE_MS = 100;

/**
 * Runs one completion request: admission, attempts and answer. Decisions are
 * made by the lifecycle; this class carries them out.
 */
export class CompletionSession
  implements AttemptListener, AdmissionListener, PickListener
{
  private readonly lifecycle: RequestLifecycle;
  private readonly runner: DecisionRunner<RequestEvent, RequestAction>;
  private pick: EnginePick | undefined;
  /** Id of the pick that is not yet released; empty if there is none. */
  private pickId = '';
  /** Attempt that is running at an engine; empty if there is none. */
  private activeAttempt = '';
  private readonly subject: SuspectSubject;
  /** What was known of crashes when the engine of the attempt was selected. */
  private stateBefore: SuspectState;
  /** Monotonic time at which the engine of the attempt was selected. */
  private startedAtMs = 0;
  private readonly priorityUpdater: PriorityUpdater;
  private hasFirstToken = false;

  constructor(
    private readonly serving: Serving,
    private readonly request: CompletionRequest,
    private readonly routedRequest: RoutedRequest,
    private readonly lengthClass: string,
    private readonly writer: ResponseWriter,
  ) {
    this.priorityUpdater = new PriorityUpdater(
      serving.traffic,
      serving.engines,
    );
    const {model, body, scopes, parts} = request;
    this.subject = {name: model, body, scopes, parts};
    this.stateBefore = serving.suspects.findState(this.subject);
    this.lifecycle = new RequestLifecycle({
      requestId: request.id,
      deadlineMs: routedRequest.deadlineMs,
      attemptIdleTimeoutMs: ENGINE_IDLE_TIMEOUT_MS,
      maxAttempts: MAX_ATTEMPTS,
      tryRetry: () => serving.retries.tryRetry(),
    });
    this.runner = new DecisionRunner(
      this.lifecycle,
      serving.clock,
      {kind: RequestEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  /** Requests admission, and ends the session when the caller disconnects. */
  start(response: ServerResponse): void {
    const {serving, routedRequest} = this;
    serving.begin();
    this.recordEvent(TimelineEventName.REQUEST_RECEIVED, {
      account: routedRequest.account,
      model: routedRequest.model,
      promptTokens: routedRequest.promptTokens,
      lengthClass: this.lengthClass,
      limitMs: Math.round(routedRequest.deadlineMs - routedRequest.arrivedMs),
    });
    response.once('close', () => {
      if (response.writableFinished) return;
      this.runner.dispatch({kind: RequestEventKind.CALLER_GONE});
    });
    serving.admission.offer(
      {
        id: routedRequest.id,
        account: routedRequest.account,
        model: routedRequest.model,
        lengthClass: this.lengthClass,
        tokens: routedRequest.promptTokens + routedRequest.answerTokens,
        deadlineMs: routedRequest.deadlineMs,
      },
      this,
    );
  }

  onAdmitted(): void {
    this.recordEvent(TimelineEventName.REQUEST_ADMITTED);
    this.runner.dispatch({kind: RequestEventKind.ADMITTED});
  }

  onRefused(failure: Failure): void {
    this.runner.dispatch({kind: RequestEventKind.REFUSED, failure});
  }

  onPicked(pick: EnginePick): void {
    this.pick = pick;
    const {upstream} = pick;
    this.runner.dispatch({kind: RequestEventKind.UPSTREAM_CHOSEN, upstream});
  }

  onPickFailed(failure: Failure): void {
    this.runner.dispatch({kind: RequestEventKind.NO_UPSTREAM, failure});
  }

  onPickLost(): void {
    if (this.pickId === '') return;
    this.serving.engines.cancel(this.pickId);
    this.onFault(this.pickId, AttemptFault.BROKEN, 'lost a reserved engine');
  }

  onAlive(attempt: string): void {
    this.runner.dispatch({kind: RequestEventKind.PROGRESS, attempt});
  }

  onText(attempt: string, position: number, text: string): void {
    const kind = RequestEventKind.TEXT;
    this.runner.dispatch({kind, attempt, position, text});
  }

  onEnd(
    attempt: string,
    position: number,
    finish: FinishReason,
    usage: Usage,
  ): void {
    const kind = RequestEventKind.END;
    this.runner.dispatch({kind, attempt, position, finish, usage});
  }

  onFault(attempt: string, fault: AttemptFault, detail: string): void {
    if (fault === AttemptFault.BROKEN && this.pick !== undefined) {
      void this.checkForCrash(attempt, this.pick, detail);
    } else {
      this.failAttempt(attempt, fault, detail);
    }
  }

  /** Records a crash if the engine of a broken attempt is down or restarted. */
  private async checkForCrash(
    attempt: string,
    {upstream, isIsolated = false}: EnginePick,
    detail: string,
  ): Promise<void> {
    const hasCrashed = await this.serving.hasCrashed(upstream);
    if (hasCrashed) {
      const wasIsolated =
        isIsolated && this.stateBefore.status === CrashStatus.SUSPECT;
      this.serving.suspects.recordCrash(this.subject, {
        upstreams: [upstream],
        stateBefore: this.stateBefore,
        wasIsolated,
        hadLease: wasIsolated,
        wasAlone: this.serving.openCalls(upstream) === 1,
        startedAtMs: this.startedAtMs,
      });
      // The next attempt depends on what the crash tells of the request's parts.
      await pause(CRASH_SETTLE_MS);
    }
    this.failAttempt(attempt, AttemptFault.BROKEN, detail);
  }

  private failAttempt(
    attempt: string,
    fault: AttemptFault,
    detail: string,
  ): void {
    // The attempt may have been cancelled during the check for a crash.
    if (attempt !== this.activeAttempt) return;
    this.recordAttemptEnd(attempt, false);
    this.recordFault(fault);
    const kind = RequestEventKind.ATTEMPT_FAILED;
    this.runner.dispatch({kind, attempt, fault, detail});
  }

  private apply(action: RequestAction): void {
    switch (action.kind) {
      case RequestActionKind.CHOOSE_UPSTREAM:
        this.pickUpstream(action.excluded);
        break;
      case RequestActionKind.START_ATTEMPT:
        this.startAttempt(action);
        break;
      case RequestActionKind.CANCEL_ATTEMPT:
        this.cancelAttempt(action.attempt, action.fault);
        break;
      case RequestActionKind.EMIT:
        this.recordFirstToken();
        this.writer.emit(action.text);
        break;
      case RequestActionKind.FINISH:
        this.finish(action.attempt, action.finish, action.usage);
        break;
      case RequestActionKind.FAIL:
        this.fail(action.failure);
        break;
    }
  }

  private pickUpstream(excluded: readonly string[]): void {
    this.pickId = `${this.routedRequest.id}.${this.lifecycle.countAttempts() + 1}`;
    const request = {...this.routedRequest, excludedUpstreams: excluded};
    const {suspects, clock, picker} = this.serving;
    this.startedAtMs = clock.nowMs();
    this.stateBefore = suspects.findState(this.subject);
    const block = suspects.findBlock(this.subject);
    if (block !== undefined) {
      this.onPickFailed(createCrashFailure(block, this.subject.parts));
      return;
    }
    const {status} = this.stateBefore;
    const isQuarantined =
      status === CrashStatus.CLEAR &&
      suspects.findQuarantine(this.subject) !== '';
    const trialStatus = isQuarantined ? CrashStatus.SUSPECT : status;
    picker.pick(this.pickId, request, trialStatus, this);
  }

  private startAttempt(
    action: Extract<RequestAction, {kind: RequestActionKind.START_ATTEMPT}>,
  ): void {
    const {attempt, upstream} = action;
    const engine = this.serving.site.upstream(upstream);
    const {pick} = this;
    if (engine === undefined || pick === undefined) {
      const kind = RequestEventKind.ATTEMPT_FAILED;
      const fault = AttemptFault.UNREACHABLE;
      this.runner.dispatch({
        kind,
        attempt,
        fault,
        detail: 'engine is not listed',
      });
      return;
    }
    this.recordEvent(TimelineEventName.ATTEMPT_STARTED, {
      attempt,
      upstream,
      position: action.resumeFrom,
    });
    this.serving.traffic.observe({
      kind: RouterEventKind.ATTEMPT_STARTED,
      attempt,
      upstream,
      request: this.routedRequest,
      cachedTokens: pick.cachedTokens,
    });
    if (this.lifecycle.countAttempts() === 1) {
      this.serving.admission.noteStarted(this.routedRequest.id);
    }
    this.activeAttempt = attempt;
    this.serving.countCall(upstream, 1);
    this.serving.engines.start(
      {
        attempt,
        address: engine.address,
        path: this.request.path,
        body: this.request.body,
        owner: this.serving.owner,
        priority: pick.priority,
        reservation: pick.reservation,
        remoteTokens: pick.remoteTokens,
        resumeFrom: action.resumeFrom,
        limitMs: action.limitMs,
      },
      this,
    );
    const {address} = engine;
    this.priorityUpdater.start(
      this.routedRequest,
      attempt,
      address,
      pick.priority,
    );
  }

  private recordFirstToken(): void {
    if (this.hasFirstToken) return;
    this.hasFirstToken = true;
    const {serving, routedRequest} = this;
    this.recordEvent(TimelineEventName.ATTEMPT_FIRST_TOKEN);
    serving.admission.noteFirstToken(routedRequest.id);
    serving.metrics.firstTokenSeconds.observe(
      {model: routedRequest.model, length_class: this.lengthClass},
      (serving.clock.nowMs() - routedRequest.arrivedMs) / MS_PER_SECOND,
    );
  }

  private cancelAttempt(attempt: string, fault?: AttemptFault): void {
    this.serving.engines.cancel(attempt);
    this.recordAttemptEnd(attempt, false);
    if (fault !== undefined) this.recordFault(fault);
  }

  private recordFault(fault: AttemptFault): void {
    const {serving, pick} = this;
    serving.metrics.retries.inc({fault});
    if (pick === undefined || fault === AttemptFault.INVALID) return;
    const {upstream} = pick;
    this.recordEvent(TimelineEventName.ATTEMPT_FAILED, {
      upstream,
      state: fault,
    });
    if (fault === AttemptFault.SHUTTING_DOWN) {
      serving.upstreams.recordLeaving(upstream);
    } else if (fault !== AttemptFault.REFUSED) {
      serving.upstreams.noteFailure(upstream);
    }
  }

  private recordAttemptEnd(attempt: string, succeeded: boolean): void {
    this.releasePick();
    if (this.pick === undefined || attempt !== this.activeAttempt) return;
    this.activeAttempt = '';
    this.serving.countCall(this.pick.upstream, -1);
    if (succeeded) this.serving.upstreams.noteSuccess(this.pick.upstream);
    const kind = RouterEventKind.ATTEMPT_ENDED;
    this.serving.traffic.observe({kind, attempt, succeeded});
  }

  private finish(attempt: string, finish: FinishReason, usage: Usage): void {
    const {serving, routedRequest} = this;
    this.writer.finish(finish, usage);
    this.recordAttemptEnd(attempt, true);
    serving.traffic.observeUsage({
      account: routedRequest.account,
      model: routedRequest.model,
      bytes: this.request.promptBytes,
      tokens: usage.promptTokens,
    });
    serving.suspects.recordAnswer(this.subject, OK_STATUS, this.startedAtMs);
    const tokens = usage.promptTokens + usage.completionTokens;
    serving.admission.noteFinished(routedRequest.id, true, tokens);
    serving.retries.recordSuccess();
    this.recordEvent(TimelineEventName.REQUEST_ANSWERED, {tokens});
    this.conclude('ok');
  }

  private fail(failure: Failure): void {
    if (failure.kind !== ErrorKind.CALLER_GONE) this.writer.fail(failure);
    if (this.lifecycle.countAttempts() === 0) {
      this.serving.admission.cancel(this.routedRequest.id);
    } else {
      this.serving.admission.noteFinished(this.routedRequest.id, false);
    }
    this.recordEvent(TimelineEventName.REQUEST_FAILED, {
      errorKind: failure.kind,
      ran: failure.ran,
    });
    this.conclude(failure.kind);
  }

  private releasePick(): void {
    this.priorityUpdater.stop();
    this.serving.picker.release(this.pickId);
    this.pickId = '';
  }

  private recordEvent(name: TimelineEventName, fields?: TimelineFields): void {
    this.serving.timeline.record(name, this.routedRequest.id, fields);
  }

  private conclude(outcome: string): void {
    this.runner.stop();
    this.releasePick();
    this.serving.metrics.droppedEvents.inc(this.lifecycle.countDroppedEvents());
    this.serving.conclude('completion', outcome, this.request.id);
  }
}
