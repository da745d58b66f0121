import {ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  SpreadActionKind,
  SpreadEventKind,
  SpreadScheduler,
  type SpreadAction,
  type SpreadEngine,
  type SpreadEvent,
} from '@parsleywood/routing';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock} from '../host/clock.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {PickListener} from './pick_listener.js';
import type {ReservationClient} from './reservation_client.js';

/** A prompt that waits for, or runs on, several engines. */
interface SpreadRun {
  readonly priority: number;
  readonly listener: PickListener;
}

/** Reserves several engines for prompts larger than one engine's memory. */
export class SpreadDesk {
  private readonly runner: DecisionRunner<SpreadEvent, SpreadAction>;
  private readonly runs = new Map<string, SpreadRun>();
  /** Tokens that each engine of a reservation holds. */
  private readonly tokensEach = new Map<string, number>();

  constructor(
    host: string,
    seed: number,
    clock: Clock,
    private readonly reservations: ReservationClient,
  ) {
    const random = xoroshiro128plus(seed);
    this.runner = new DecisionRunner(
      new SpreadScheduler({host, random}),
      clock,
      {kind: SpreadEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  stop(): void {
    this.runner.stop();
  }

  /** Takes the engines that may get new work. */
  setEngines(engines: readonly SpreadEngine[]): void {
    this.runner.dispatch({kind: SpreadEventKind.ENGINES, engines});
  }

  /**
   * Asks for engines for one attempt.
   *
   * @param tokens Prompt and answer tokens together.
   * @param latestStartMs Monotonic time past which a start is too late.
   */
  need(
    id: string,
    model: string,
    tokens: number,
    latestStartMs: number,
    priority: number,
    listener: PickListener,
  ): void {
    this.runs.set(id, {priority, listener});
    const kind = SpreadEventKind.NEEDED;
    this.runner.dispatch({kind, id, model, tokens, latestStartMs});
  }

  /** Frees the engines of an attempt that ended or is no longer wanted. */
  end(id: string): void {
    if (!this.runs.delete(id)) return;
    this.runner.dispatch({kind: SpreadEventKind.ENDED, id});
  }

  private apply(action: SpreadAction): void {
    switch (action.kind) {
      case SpreadActionKind.RESERVE:
        void this.reserve(action);
        break;
      case SpreadActionKind.RELEASE:
        this.tokensEach.delete(action.reservation);
        void this.reservations.release(action.engine, action.reservation);
        break;
      case SpreadActionKind.START:
        this.start(action.id, action.reservation, action.engines);
        break;
      case SpreadActionKind.STOP:
        this.runs.get(action.id)?.listener.onPickLost();
        break;
      case SpreadActionKind.REFUSE: {
        const run = this.runs.get(action.id);
        this.runs.delete(action.id);
        run?.listener.onNonePicked(
          new Failure(
            action.error,
            'too few engines have room for the prompt within its time limit',
            ExecutionStatus.NO,
            action.retryAfterMs,
          ),
        );
        break;
      }
    }
  }

  private async reserve(
    action: Extract<SpreadAction, {kind: SpreadActionKind.RESERVE}>,
  ): Promise<void> {
    const {engine, reservation, tokens, leaseMs, requestedAtMs} = action;
    this.tokensEach.set(reservation, tokens);
    const isHeld = await this.reservations.reserve(
      engine,
      reservation,
      tokens,
      leaseMs,
    );
    this.runner.dispatch(
      isHeld
        ? {kind: SpreadEventKind.RESERVED, reservation, engine, requestedAtMs}
        : {kind: SpreadEventKind.REFUSED, reservation, engine},
    );
  }

  private start(
    id: string,
    reservation: string,
    engines: readonly string[],
  ): void {
    const run = this.runs.get(id);
    const [upstream] = engines;
    if (run === undefined || upstream === undefined) return;
    const tokensEach = this.tokensEach.get(reservation) ?? 0;
    run.listener.onPicked({
      upstream,
      priority: run.priority,
      cachedTokens: 0,
      reservation,
      remoteTokens: tokensEach * (engines.length - 1),
    });
  }
}
