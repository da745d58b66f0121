import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import {
  ChoiceKind,
  type Choice,
  type RoutedRequest,
} from '@parsleywood/routing';
import {CrashStatus} from '@parsleywood/requests';
import type {EngineTraffic} from './engine_traffic.js';
import type {PickListener} from './pick_listener.js';
import type {IsolationLeases} from './isolation_leases.js';
import type {SpreadDesk} from './spread_desk.js';

const RETRY_AFTER_MS = 500;
/** Part of a request's time limit after which a spread prompt is not started. */
const LATEST_START_RATIO = 0.5;

/**
 * Selects the engine for each attempt of a request: one engine, several engines
 * for a prompt larger than one engine's memory, or an engine without other
 * suspects for a request suspected of crashing engines.
 */
export class EnginePicker {
  constructor(
    private readonly traffic: EngineTraffic,
    private readonly spread: SpreadDesk,
    private readonly isolation: IsolationLeases,
  ) {}

  /**
   * Selects the engine for one attempt. The listener may be called before this
   * returns.
   *
   * @param id Identifies the pick until `release`.
   */
  pick(
    id: string,
    request: RoutedRequest,
    verdict: CrashStatus,
    listener: PickListener,
  ): void {
    const choice = this.choose(request);
    if (
      choice?.kind === ChoiceKind.UPSTREAM &&
      verdict === CrashStatus.SUSPECT
    ) {
      this.pickIsolated(id, request, choice.priority, listener);
    } else if (choice?.kind === ChoiceKind.UPSTREAM) {
      listener.onPicked(choice);
    } else if (choice?.kind === ChoiceKind.SPREAD) {
      const {model, promptTokens, answerTokens} = request;
      const tokens = promptTokens + answerTokens;
      const {priority} = choice;
      const latestStartMs = computeLatestStart(request);
      this.spread.acquire(id, model, tokens, latestStartMs, priority, listener);
    } else {
      listener.onPickFailed(createUnavailableFailure(request.model));
    }
  }

  /** Releases a pick whose attempt ended or was abandoned. */
  release(id: string): void {
    this.spread.release(id);
    this.isolation.release(id);
  }

  private pickIsolated(
    id: string,
    request: RoutedRequest,
    priority: number,
    listener: PickListener,
  ): void {
    this.isolation.acquire(
      id,
      request.model,
      request.excludedUpstreams,
      upstream => {
        listener.onPicked({
          upstream,
          priority,
          cachedTokens: 0,
          isIsolated: true,
        });
      },
      () => {
        listener.onPickFailed(createUnavailableFailure(request.model));
      },
    );
  }

  private choose(request: RoutedRequest): Choice | undefined {
    const choice = this.traffic.choose(request);
    if (
      choice?.kind !== ChoiceKind.NONE ||
      request.excludedUpstreams.length === 0
    ) {
      return choice;
    }
    // Every engine has failed this request once. Exclude only the one that
    // failed last, since the others may have recovered.
    return this.traffic.choose({
      ...request,
      excludedUpstreams: request.excludedUpstreams.slice(-1),
    });
  }
}

function createUnavailableFailure(model: string): Failure {
  return new Failure(
    ErrorKind.UPSTREAM_UNAVAILABLE,
    `no engine of model "${model}" can accept the request now`,
    ExecutionStatus.NO,
    RETRY_AFTER_MS,
  );
}

/**
 * Returns the latest time at which a spread prompt may start. A later start
 * would not finish before the deadline.
 */
function computeLatestStart({arrivedMs, deadlineMs}: RoutedRequest): number {
  return arrivedMs + (deadlineMs - arrivedMs) * LATEST_START_RATIO;
}
