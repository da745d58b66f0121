import type {ServerResponse} from 'node:http';
import {ErrorKind, type Failure} from '@parsleywood/errors';
import {
  AttemptFault,
  RequestActionKind,
  RequestEventKind,
  RequestLifecycle,
  type FinishReason,
  type RequestAction,
  type RequestEvent,
  type Usage,
} from '@parsleywood/requests';
import {RouterEventKind, type RoutedRequest} from '@parsleywood/routing';
import {TimelineEventName, type TimelineFields} from '@parsleywood/timeline';
import type {AdmissionListener} from '../control/admission_listener.js';
import type {AttemptListener} from '../upstreams/attempt_listener.js';
import type {CompletionRequest} from './completion_request.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {Delivery} from './delivery.js';
import type {EnginePick} from '../upstreams/engine_pick.js';
import type {PickListener} from '../upstreams/pick_listener.js';
import {PriorityRenewal} from '../upstreams/priority_renewal.js';
import type {Serving} from '../host/serving.js';

/** Longest silence of an engine before the request moves, in milliseconds. */
const ENGINE_SILENCE_MS = 5_000;
const MAX_ATTEMPTS = 4;
const MS_PER_SECOND = 1_000;

/** One completion request: its admission, attempts and answer. */
export class CompletionSession
  implements AttemptListener, AdmissionListener, PickListener
{
  private readonly lifecycle: RequestLifecycle;
  private readonly runner: DecisionRunner<RequestEvent, RequestAction>;
  private pick: EnginePick | undefined;
  private pickId = '';
  /** The attempt that is open at an engine; empty when none is. */
  private activeAttempt = '';
  private readonly renewal: PriorityRenewal;
  private hasFirstToken = false;

  constructor(
    private readonly serving: Serving,
    private readonly request: CompletionRequest,
    private readonly routed: RoutedRequest,
    private readonly lengthClass: string,
    private readonly delivery: Delivery,
  ) {
    this.renewal = new PriorityRenewal(serving.traffic, serving.engines);
    this.lifecycle = new RequestLifecycle({
      requestId: request.id,
      deadlineMs: routed.deadlineMs,
      attemptIdleTimeoutMs: ENGINE_SILENCE_MS,
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

  /** Asks for admission and watches for the caller's closing. */
  start(response: ServerResponse): void {
    const {serving, routed} = this;
    serving.begin();
    this.record(TimelineEventName.REQUEST_RECEIVED, {
      account: routed.account,
      model: routed.model,
      promptTokens: routed.promptTokens,
      lengthClass: this.lengthClass,
      limitMs: Math.round(routed.deadlineMs - routed.arrivedMs),
    });
    response.once('close', () => {
      if (response.writableFinished) return;
      this.runner.dispatch({kind: RequestEventKind.CALLER_GONE});
    });
    serving.admission.offer(
      {
        id: routed.id,
        account: routed.account,
        model: routed.model,
        lengthClass: this.lengthClass,
        tokens: routed.promptTokens + routed.answerTokens,
        deadlineMs: routed.deadlineMs,
      },
      this,
    );
  }

  onAdmitted(): void {
    this.record(TimelineEventName.REQUEST_ADMITTED);
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

  onNonePicked(failure: Failure): void {
    this.runner.dispatch({kind: RequestEventKind.NO_UPSTREAM, failure});
  }

  onPickLost(): void {
    if (this.pickId === '') return;
    this.serving.engines.cancel(this.pickId);
    this.onFault(this.pickId, AttemptFault.BROKEN, 'an engine dropped out');
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
      void this.inspectCrash(attempt, this.pick, detail);
    } else {
      this.failAttempt(attempt, fault, detail);
    }
  }

  /** Finds out whether the engine of a broken attempt is down. */
  private async inspectCrash(
    attempt: string,
    {upstream, isSolo = false}: EnginePick,
    detail: string,
  ): Promise<void> {
    const hasCrashed = await this.serving.hasCrashed(upstream);
    if (hasCrashed) this.serving.suspects.noteCrash(this.request, isSolo);
    this.failAttempt(attempt, AttemptFault.BROKEN, detail);
  }

  private failAttempt(
    attempt: string,
    fault: AttemptFault,
    detail: string,
  ): void {
    // The attempt may have been given up while its crash was looked into.
    if (attempt !== this.activeAttempt) return;
    this.noteAttemptEnded(attempt, false);
    this.noteFault(fault);
    const kind = RequestEventKind.ATTEMPT_FAILED;
    this.runner.dispatch({kind, attempt, fault, detail});
  }

  private apply(action: RequestAction): void {
    switch (action.kind) {
      case RequestActionKind.CHOOSE_UPSTREAM:
        this.choose(action.excluded);
        break;
      case RequestActionKind.START_ATTEMPT:
        this.startAttempt(action);
        break;
      case RequestActionKind.CANCEL_ATTEMPT:
        this.cancelAttempt(action.attempt, action.fault);
        break;
      case RequestActionKind.EMIT:
        this.noteFirstToken();
        this.delivery.emit(action.text);
        break;
      case RequestActionKind.FINISH:
        this.finish(action.attempt, action.finish, action.usage);
        break;
      case RequestActionKind.FAIL:
        this.fail(action.failure);
        break;
    }
  }

  private choose(excluded: readonly string[]): void {
    this.pickId = `${this.routed.id}.${this.lifecycle.countAttempts() + 1}`;
    const request = {...this.routed, excludedUpstreams: excluded};
    const crashStatus = this.serving.suspects.judge(this.request);
    this.serving.picker.pick(this.pickId, request, crashStatus, this);
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
      this.runner.dispatch({kind, attempt, fault, detail: 'not listed'});
      return;
    }
    this.record(TimelineEventName.ATTEMPT_STARTED, {
      attempt,
      upstream,
      position: action.resumeFrom,
    });
    this.serving.traffic.observe({
      kind: RouterEventKind.ATTEMPT_STARTED,
      attempt,
      upstream,
      request: this.routed,
      cachedTokens: pick.cachedTokens,
    });
    if (this.lifecycle.countAttempts() === 1) {
      this.serving.admission.noteStarted(this.routed.id);
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
    this.renewal.start(this.routed, attempt, address, pick.priority);
  }

  private noteFirstToken(): void {
    if (this.hasFirstToken) return;
    this.hasFirstToken = true;
    const {serving, routed} = this;
    this.record(TimelineEventName.ATTEMPT_FIRST_TOKEN);
    serving.admission.noteFirstToken(routed.id);
    serving.metrics.firstTokenSeconds.observe(
      {model: routed.model, length_class: this.lengthClass},
      (serving.clock.nowMs() - routed.arrivedMs) / MS_PER_SECOND,
    );
  }

  private cancelAttempt(attempt: string, fault?: AttemptFault): void {
    this.serving.engines.cancel(attempt);
    this.noteAttemptEnded(attempt, false);
    if (fault !== undefined) this.noteFault(fault);
  }

  private noteFault(fault: AttemptFault): void {
    const {serving, pick} = this;
    serving.metrics.retries.inc({fault});
    if (pick === undefined || fault === AttemptFault.INVALID) return;
    const {upstream} = pick;
    this.record(TimelineEventName.ATTEMPT_FAILED, {upstream, state: fault});
    if (fault === AttemptFault.SHUTTING_DOWN) {
      serving.upstreams.noteLeaving(upstream);
    } else if (fault !== AttemptFault.REFUSED) {
      serving.upstreams.noteFailure(upstream);
    }
  }

  private noteAttemptEnded(attempt: string, succeeded: boolean): void {
    this.releasePick();
    if (this.pick === undefined || attempt !== this.activeAttempt) return;
    this.activeAttempt = '';
    this.serving.countCall(this.pick.upstream, -1);
    if (succeeded) this.serving.upstreams.noteSuccess(this.pick.upstream);
    const kind = RouterEventKind.ATTEMPT_ENDED;
    this.serving.traffic.observe({kind, attempt, succeeded});
  }

  private finish(attempt: string, finish: FinishReason, usage: Usage): void {
    const {serving, routed} = this;
    this.delivery.finish(finish, usage);
    this.noteAttemptEnded(attempt, true);
    serving.traffic.observeUsage({
      account: routed.account,
      model: routed.model,
      bytes: this.request.promptBytes,
      tokens: usage.promptTokens,
    });
    if (this.pick?.isSolo) serving.suspects.noteSuccess(this.request);
    const tokens = usage.promptTokens + usage.completionTokens;
    serving.admission.noteFinished(routed.id, true, tokens);
    serving.retries.recordSuccess();
    this.record(TimelineEventName.REQUEST_ANSWERED, {tokens});
    this.conclude('ok');
  }

  private fail(failure: Failure): void {
    if (failure.kind !== ErrorKind.CALLER_GONE) this.delivery.fail(failure);
    if (this.lifecycle.countAttempts() === 0) {
      this.serving.admission.cancel(this.routed.id);
    } else {
      this.serving.admission.noteFinished(this.routed.id, false);
    }
    this.record(TimelineEventName.REQUEST_FAILED, {
      errorKind: failure.kind,
      ran: failure.ran,
    });
    this.conclude(failure.kind);
  }

  private releasePick(): void {
    this.renewal.stop();
    this.serving.picker.release(this.pickId);
    this.pickId = '';
  }

  private record(name: TimelineEventName, fields?: TimelineFields): void {
    this.serving.timeline.record(name, this.routed.id, fields);
  }

  private conclude(outcome: string): void {
    this.runner.stop();
    this.releasePick();
    this.serving.metrics.droppedEvents.inc(this.lifecycle.countDroppedEvents());
    this.serving.conclude('completion', outcome, this.request.id);
  }
}
