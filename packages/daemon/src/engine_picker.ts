import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {
  ChoiceKind,
  type Choice,
  type RoutedRequest,
} from '@parsleywood/routing';
import type {EngineTraffic} from './engine_traffic.js';
import type {PickListener} from './pick_listener.js';
import type {SpreadDesk} from './spread_desk.js';

const RETRY_AFTER_MS = 500;

/** Picks the engine, or the engines, for each attempt of a request. */
export class EnginePicker {
  constructor(
    private readonly traffic: EngineTraffic,
    private readonly spread: SpreadDesk,
  ) {}

  /**
   * Picks for one attempt; the listener may be told before this returns.
   *
   * @param id Names the pick until its release.
   */
  pick(id: string, request: RoutedRequest, listener: PickListener): void {
    const choice = this.choose(request);
    if (choice?.kind === ChoiceKind.UPSTREAM) {
      listener.onPicked(choice);
    } else if (choice?.kind === ChoiceKind.SPREAD) {
      const {model, promptTokens, answerTokens, deadlineMs} = request;
      const tokens = promptTokens + answerTokens;
      const {priority} = choice;
      this.spread.need(id, model, tokens, deadlineMs, priority, listener);
    } else {
      listener.onNonePicked(
        new Failure(
          ErrorKind.UPSTREAM_UNAVAILABLE,
          `no engine of model "${request.model}" can take the request now`,
          Ran.NO,
          RETRY_AFTER_MS,
        ),
      );
    }
  }

  /** Ends a pick: its attempt is over or no longer wanted. */
  release(id: string): void {
    this.spread.end(id);
  }

  private choose(request: RoutedRequest): Choice | undefined {
    const choice = this.traffic.choose(request);
    if (choice?.kind !== ChoiceKind.NONE || request.avoid.length === 0) {
      return choice;
    }
    // Every engine failed this request once; all but the last may be back.
    return this.traffic.choose({...request, avoid: request.avoid.slice(-1)});
  }
}
