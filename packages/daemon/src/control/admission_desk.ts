import {
  AdmissionActionKind,
  AdmissionEventKind,
  type Admission,
  type AdmissionAction,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionSettings,
} from '@parsleywood/admission';
import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import type {LimitMessage} from '@parsleywood/schema/limits';
import type {AdmissionListener} from './admission_listener.js';
import type {Clock} from '../host/clock.js';
import {DecisionRunner} from '../host/decision_runner.js';

/**
 * Feeds the admission decision with the events of this host's requests, and
 * notifies each request's listener of the result.
 */
export class AdmissionDesk {
  private readonly runner: DecisionRunner<AdmissionEvent, AdmissionAction>;
  private readonly listeners = new Map<string, AdmissionListener>();

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

  /** Returns the number of requests that wait for admission. */
  countQueued(): number {
    return this.listeners.size;
  }

  /**
   * Requests admission. The listener may be called before this method returns.
   */
  offer(request: AdmissionRequest, listener: AdmissionListener): void {
    this.listeners.set(request.id, listener);
    this.runner.dispatch({kind: AdmissionEventKind.REQUESTED, ...request});
  }

  noteStarted(id: string): void {
    this.runner.dispatch({kind: AdmissionEventKind.STARTED, id});
  }

  noteFirstToken(id: string): void {
    this.runner.dispatch({kind: AdmissionEventKind.FIRST_TOKEN, id});
  }

  /**
   * @param tokens Prompt and completion tokens together; undefined when the
   *     engine did not report them.
   */
  noteFinished(id: string, succeeded: boolean, tokens?: number): void {
    const kind = AdmissionEventKind.FINISHED;
    const usage = tokens === undefined ? {} : {tokens};
    this.runner.dispatch({kind, id, succeeded, ...usage});
  }

  /** Withdraws a queued request, or ends an admitted one that got no answer. */
  cancel(id: string): void {
    this.listeners.delete(id);
    this.runner.dispatch({kind: AdmissionEventKind.CANCELLED, id});
  }

  applySettings(settings: AdmissionSettings): void {
    this.runner.dispatch({kind: AdmissionEventKind.SETTINGS, settings});
  }

  setPeers(hosts: readonly string[]): void {
    this.runner.dispatch({kind: AdmissionEventKind.PEERS, hosts});
  }

  handleMessage(from: string, message: LimitMessage): void {
    const kind = AdmissionEventKind.LIMIT_MESSAGE;
    this.runner.dispatch({kind, from, message});
  }

  private apply(action: AdmissionAction): void {
    if (action.kind === AdmissionActionKind.SEND) {
      this.send(action.to, action.message);
      return;
    }
    const listener = this.listeners.get(action.id);
    this.listeners.delete(action.id);
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
    return 'the client account has reached its limit';
  }
  return 'the site has no capacity for the request within its time limit';
}
