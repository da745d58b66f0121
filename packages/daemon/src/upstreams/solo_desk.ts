import {orderByRendezvous} from '@parsleywood/routing';
import type {EngineTraffic} from './engine_traffic.js';
import type {ReservationClient} from './reservation_client.js';

/** Name of the reservation that lets one suspect at a time run on an engine. */
const RESERVATION = 'suspect';
const RESERVED_TOKENS = 1;
const LEASE_MS = 30_000;
const RENEW_MS = 10_000;
const ASK_AGAIN_MS = 150;

/** A suspect that waits for, or holds, an engine. */
interface SoloRun {
  engine: string | undefined;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Lets each request that is suspected of crashing engines run as the only
 * suspect on its engine, over all hosts: a lease at the engine itself decides.
 */
export class SoloDesk {
  private readonly runs = new Map<string, SoloRun>();

  constructor(
    private readonly traffic: EngineTraffic,
    private readonly reservations: ReservationClient,
  ) {}

  /**
   * Asks until an engine is free of other suspects.
   *
   * @param id Names the run until its end.
   * @param excludedEngines Engines that the request must not run on, while there are others.
   */
  need(
    id: string,
    model: string,
    excludedEngines: readonly string[],
    onHeld: (engine: string) => void,
    onNone: () => void,
  ): void {
    this.runs.set(id, {engine: undefined, timer: undefined});
    void this.ask(id, model, excludedEngines, onHeld, onNone);
  }

  /** Ends a run: its attempt is over or no longer wanted. */
  end(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.runs.delete(id);
    clearTimeout(run.timer);
    if (run.engine !== undefined) {
      void this.reservations.release(run.engine, RESERVATION);
    }
  }

  private async ask(
    id: string,
    model: string,
    excludedEngines: readonly string[],
    onHeld: (engine: string) => void,
    onNone: () => void,
  ): Promise<void> {
    const engine = this.chooseEngine(id, model, excludedEngines);
    if (engine === undefined) {
      this.runs.delete(id);
      onNone();
      return;
    }
    const isHeld = await this.reserve(id, engine);
    const run = this.runs.get(id);
    if (run === undefined) {
      if (isHeld) void this.reservations.release(engine, RESERVATION);
      return;
    }
    if (isHeld) {
      run.engine = engine;
      this.renewLater(id, engine);
      onHeld(engine);
      return;
    }
    run.timer = setTimeout(() => {
      void this.ask(id, model, excludedEngines, onHeld, onNone);
    }, ASK_AGAIN_MS);
  }

  private chooseEngine(
    id: string,
    model: string,
    excludedEngines: readonly string[],
  ): string | undefined {
    const names = this.traffic
      .usableEngines()
      .filter(engine => engine.model === model)
      .map(engine => engine.name);
    const others = names.filter(name => !excludedEngines.includes(name));
    return orderByRendezvous(id, others.length > 0 ? others : names)[0];
  }

  private renewLater(id: string, engine: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    run.timer = setTimeout(() => {
      void this.reserve(id, engine).then(() => {
        this.renewLater(id, engine);
      });
    }, RENEW_MS);
  }

  private reserve(id: string, engine: string): Promise<boolean> {
    return this.reservations.reserve(
      engine,
      RESERVATION,
      RESERVED_TOKENS,
      LEASE_MS,
      id,
    );
  }
}
