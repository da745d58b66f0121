import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  ChoiceKind,
  type Choice,
  type RoutedRequest,
} from '@parsleywood/routing';
import {CrashStatus} from '@parsleywood/requests';
import type {EngineTraffic} from './engine_traffic.js';
import type {PickListener} from './pick_listener.js';
import {refuseCondemned} from '../callers/refuse_condemned.js';
import type {SoloDesk} from './solo_desk.js';
import type {SpreadDesk} from './spread_desk.js';

const RETRY_AFTER_MS = 500;
const LATEST_START_SHARE = 0.5;

/** Picks the engine, or the engines, for each attempt of a request. */
export class EnginePicker {
  constructor(
    private readonly traffic: EngineTraffic,
    private readonly spread: SpreadDesk,
    private readonly solo: SoloDesk,
  ) {}

  /**
   * Picks for one attempt; the listener may be told before this returns.
   *
   * @param id Names the pick until its release.
   */
  pick(
    id: string,
    request: RoutedRequest,
    crashStatus: CrashStatus,
    listener: PickListener,
  ): void {
    if (crashStatus === CrashStatus.BLOCKED) {
      listener.onNonePicked(refuseCondemned());
      return;
    }
    const choice = this.choose(request);
    if (
      choice?.kind === ChoiceKind.UPSTREAM &&
      crashStatus === CrashStatus.SUSPECT
    ) {
      this.pickSolo(id, request, choice.priority, listener);
    } else if (choice?.kind === ChoiceKind.UPSTREAM) {
      listener.onPicked(choice);
    } else if (choice?.kind === ChoiceKind.SPREAD) {
      const {model, promptTokens, answerTokens} = request;
      const tokens = promptTokens + answerTokens;
      const {priority} = choice;
      const latestMs = findLatestStart(request);
      this.spread.need(id, model, tokens, latestMs, priority, listener);
    } else {
      listener.onNonePicked(refuseUnavailable(request.model));
    }
  }

  /** Ends a pick: its attempt is over or no longer wanted. */
  release(id: string): void {
    this.spread.end(id);
    this.solo.end(id);
  }

  private pickSolo(
    id: string,
    request: RoutedRequest,
    priority: number,
    listener: PickListener,
  ): void {
    this.solo.need(
      id,
      request.model,
      request.excludedUpstreams,
      upstream => {
        listener.onPicked({upstream, priority, cachedTokens: 0, isSolo: true});
      },
      () => {
        listener.onNonePicked(refuseUnavailable(request.model));
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
    // Every engine failed this request once; all but the last may be back.
    return this.traffic.choose({
      ...request,
      excludedUpstreams: request.excludedUpstreams.slice(-1),
    });
  }
}

function refuseUnavailable(model: string): Failure {
  return new Failure(
    ErrorKind.UPSTREAM_UNAVAILABLE,
    `no engine of model "${model}" can take the request now`,
    ExecutionStatus.NO,
    RETRY_AFTER_MS,
  );
}

/** A prompt that starts in the last part of its time cannot end within it. */
function findLatestStart({arrivedMs, deadlineMs}: RoutedRequest): number {
  return arrivedMs + (deadlineMs - arrivedMs) * LATEST_START_SHARE;
}
