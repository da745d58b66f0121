import {
  AdmissionActionKind,
  AdmissionEventKind,
  type Admission,
  type AdmissionAction,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionSettings,
} from '@parsleywood/admission';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import type {LimitMessage} from '@parsleywood/schema/limits';
import type {AdmissionListener} from './admission_listener.js';
import type {Clock} from '../host/clock.js';
import {DecisionRunner} from '../host/decision_runner.js';

/** Runs admission for the requests of this host. */
export class AdmissionDesk {
  private readonly runner: DecisionRunner<AdmissionEvent, AdmissionAction>;
  private readonly waiting = new Map<string, AdmissionListener>();

  /** @param send Sends a limit message to a host. */
  constructor(
    admission: Admission,
    clock: Clock,
    private readonly send: (host: string, message: LimitMessage) => void,
  ) {
    this.runner = new DecisionRunner(
      admission,
      clock,
      {kind: AdmissionEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  start(): void {
    this.runner.dispatch({kind: AdmissionEventKind.WAKE});
  }

  stop(): void {
    this.runner.stop();
  }

  /** Number of requests that wait. */
  queued(): number {
    return this.waiting.size;
  }

  /** Asks for admission; the listener may be told before this returns. */
  offer(request: AdmissionRequest, listener: AdmissionListener): void {
    this.waiting.set(request.id, listener);
    this.runner.dispatch({kind: AdmissionEventKind.REQUESTED, ...request});
  }

  noteStarted(id: string): void {
    this.runner.dispatch({kind: AdmissionEventKind.STARTED, id});
  }

  noteFirstToken(id: string): void {
    this.runner.dispatch({kind: AdmissionEventKind.FIRST_TOKEN, id});
  }

  /** @param tokens Prompt and answer tokens, where the engine reported them. */
  noteFinished(id: string, succeeded: boolean, tokens?: number): void {
    const kind = AdmissionEventKind.FINISHED;
    const used = tokens === undefined ? {} : {tokens};
    this.runner.dispatch({kind, id, succeeded, ...used});
  }

  /** Withdraws a request, or ends an admitted request without an answer. */
  cancel(id: string): void {
    this.waiting.delete(id);
    this.runner.dispatch({kind: AdmissionEventKind.CANCELLED, id});
  }

  applySettings(settings: AdmissionSettings): void {
    this.runner.dispatch({kind: AdmissionEventKind.SETTINGS, settings});
  }

  setPeers(hosts: readonly string[]): void {
    this.runner.dispatch({kind: AdmissionEventKind.PEERS, hosts});
  }

  takeMessage(from: string, message: LimitMessage): void {
    const kind = AdmissionEventKind.LIMIT_MESSAGE;
    this.runner.dispatch({kind, from, message});
  }

  private apply(action: AdmissionAction): void {
    if (action.kind === AdmissionActionKind.SEND) {
      this.send(action.to, action.message);
      return;
    }
    const listener = this.waiting.get(action.id);
    this.waiting.delete(action.id);
    if (listener === undefined) return;
    if (action.kind === AdmissionActionKind.ADMIT) {
      listener.onAdmitted();
    } else {
      listener.onRefused(
        new Failure(
          action.error,
          describeRefusal(action.error),
          ExecutionStatus.NO,
          action.retryAfterMs,
        ),
      );
    }
  }
}

function describeRefusal(kind: ErrorKind): string {
  if (kind === ErrorKind.ACCOUNT_LIMIT) {
    return 'the client account is over its limit';
  }
  return 'the site has no room for the request within its time limit';
}
