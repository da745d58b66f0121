import type {ServerResponse} from 'node:http';
import {ErrorKind, type Failure} from '@parsleywood/errors';
import {
  AttemptFault,
  Life,
  LifeActionKind,
  LifeEventKind,
  type Finish,
  type LifeAction,
  type LifeEvent,
  type Usage,
} from '@parsleywood/requests';
import type {AttemptListener} from './attempt_listener.js';
import type {CompletionRequest} from './completion_request.js';
import type {Delivery} from './delivery.js';
import type {Serving} from './serving.js';
import {Timer} from './timer.js';

/** Longest silence of an engine before the request moves, in milliseconds. */
const ENGINE_SILENCE_MS = 5_000;
const MAX_ATTEMPTS = 4;

/** One completion request: its life, its attempts and its answer. */
export class CompletionSession implements AttemptListener {
  private readonly life: Life;
  private readonly timer: Timer;
  private readonly startedAtMs: number;
  private firstTokenAtMs: number | undefined;

  constructor(
    private readonly serving: Serving,
    private readonly request: CompletionRequest,
    private readonly lengthClass: string,
    deadlineMs: number,
    private readonly delivery: Delivery,
  ) {
    this.startedAtMs = serving.clock.nowMs();
    this.life = new Life({
      requestId: request.id,
      deadlineMs,
      silenceMs: ENGINE_SILENCE_MS,
      maxAttempts: MAX_ATTEMPTS,
      mayRetry: () => serving.mayRetry(),
    });
    this.timer = new Timer(serving.clock, () => {
      this.handle({kind: LifeEventKind.WAKE});
    });
  }

  /** Watches for the caller's closing of the connection. */
  watchCaller(response: ServerResponse): void {
    response.once('close', () => {
      if (!response.writableFinished) {
        this.handle({kind: LifeEventKind.CALLER_GONE});
      }
    });
  }

  admit(): void {
    this.handle({kind: LifeEventKind.ADMITTED});
  }

  onAlive(attempt: string): void {
    this.handle({kind: LifeEventKind.ALIVE, attempt});
  }

  onText(attempt: string, position: number, text: string): void {
    this.handle({kind: LifeEventKind.TEXT, attempt, position, text});
  }

  onEnd(attempt: string, position: number, finish: Finish, usage: Usage): void {
    this.handle({kind: LifeEventKind.END, attempt, position, finish, usage});
  }

  onFault(attempt: string, fault: AttemptFault, detail: string): void {
    this.handle({kind: LifeEventKind.ATTEMPT_FAILED, attempt, fault, detail});
  }

  private handle(event: LifeEvent): void {
    const actions = this.life.handle(event, this.serving.clock.nowMs());
    for (const action of actions) this.apply(action);
    this.timer.set(this.life.wakeAtMs());
  }

  private apply(action: LifeAction): void {
    switch (action.kind) {
      case LifeActionKind.CHOOSE:
        this.choose(action.excluded);
        break;
      case LifeActionKind.START_ATTEMPT:
        this.startAttempt(action);
        break;
      case LifeActionKind.CANCEL_ATTEMPT:
        this.serving.engines.cancel(action.attempt);
        break;
      case LifeActionKind.EMIT:
        this.noteFirstToken();
        this.delivery.emit(action.text);
        break;
      case LifeActionKind.FINISH:
        this.delivery.finish(action.finish, action.usage);
        this.conclude('ok');
        break;
      case LifeActionKind.FAIL:
        this.fail(action.failure);
        break;
    }
  }

  private choose(excluded: readonly string[]): void {
    const chosen = this.serving.chooseEngine(this.request.model, excluded);
    if (chosen === undefined) {
      const retryAfterMs = this.serving.retryAfterMs();
      this.handle({kind: LifeEventKind.NONE_CHOSEN, retryAfterMs});
    } else {
      this.handle({kind: LifeEventKind.CHOSEN, upstream: chosen.name});
    }
  }

  private startAttempt(
    action: Extract<LifeAction, {kind: LifeActionKind.START_ATTEMPT}>,
  ): void {
    const engine = this.serving.site.upstream(action.upstream);
    if (engine === undefined) {
      const {attempt} = action;
      this.onFault(attempt, AttemptFault.UNREACHABLE, 'no longer listed');
      return;
    }
    this.serving.engines.start(
      {
        attempt: action.attempt,
        address: engine.address,
        path: this.request.path,
        body: this.request.body,
        owner: this.serving.owner,
        priority: this.serving.priorityOf(this.lengthClass),
        resumeFrom: action.resumeFrom,
        limitMs: action.limitMs,
      },
      this,
    );
  }

  private noteFirstToken(): void {
    if (this.firstTokenAtMs !== undefined) return;
    this.firstTokenAtMs = this.serving.clock.nowMs();
    this.serving.metrics.firstTokenSeconds.observe(
      {model: this.request.model, length_class: this.lengthClass},
      (this.firstTokenAtMs - this.startedAtMs) / 1_000,
    );
  }

  private fail(failure: Failure): void {
    if (failure.kind !== ErrorKind.CALLER_GONE) this.delivery.fail(failure);
    this.conclude(failure.kind);
  }

  private conclude(outcome: string): void {
    this.timer.clear();
    this.serving.conclude('completion', outcome, this.request.id);
  }
}
