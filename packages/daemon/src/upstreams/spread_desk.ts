import {Failure, ExecutionStatus} from '@parsleywood/errors';
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

/** A prompt that waits for several engines or runs on them. */
interface SpreadRun {
  readonly priority: number;
  readonly listener: PickListener;
}

/**
 * Carries out the actions of `SpreadScheduler`: reserves memory on several engines
 * for each prompt larger than one engine's memory.
 */
export class SpreadDesk {
  private readonly runner: DecisionRunner<SpreadEvent, SpreadAction>;
  private readonly runs = new Map<string, SpreadRun>();
  /** Tokens that each engine of a reservation keeps, by reservation. */
  private readonly tokensPerEngine = new Map<string, number>();

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

  /** Sets the engines that may receive new work. */
  setEngines(engines: readonly SpreadEngine[]): void {
    this.runner.dispatch({kind: SpreadEventKind.ENGINES, engines});
  }

  /**
   * Requests engines for one attempt.
   *
   * @param tokens Sum of prompt and answer tokens.
   * @param latestStartMs Monotonic time after which the attempt is not started.
   */
  acquire(
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

  /** Frees the engines of an attempt that ended or was abandoned. */
  release(id: string): void {
    if (!this.runs.delete(id)) return;
    this.runner.dispatch({kind: SpreadEventKind.ENDED, id});
  }

  private apply(action: SpreadAction): void {
    switch (action.kind) {
      case SpreadActionKind.RESERVE:
        void this.reserve(action);
        break;
      case SpreadActionKind.RELEASE:
        this.tokensPerEngine.delete(action.reservation);
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
        run?.listener.onPickFailed(
          new Failure(
            action.error,
            'too few engines have free memory for the prompt within its time limit',
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
    const {
      engine,
      reservation,
      tokens,
      leaseMs,
      requestedAtMs: askedMs,
    } = action;
    this.tokensPerEngine.set(reservation, tokens);
    const isHeld = await this.reservations.reserve(
      engine,
      reservation,
      tokens,
      leaseMs,
    );
    this.runner.dispatch(
      isHeld
        ? {
            kind: SpreadEventKind.RESERVED,
            reservation,
            engine,
            requestedAtMs: askedMs,
          }
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
    const tokensPerEngine = this.tokensPerEngine.get(reservation) ?? 0;
    run.listener.onPicked({
      upstream,
      priority: run.priority,
      cachedTokens: 0,
      reservation,
      remoteTokens: tokensPerEngine * (engines.length - 1),
    });
  }
}
