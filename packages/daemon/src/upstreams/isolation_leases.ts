import {orderByRendezvous} from '@parsleywood/routing';
import type {EngineTraffic} from './engine_traffic.js';
import type {ReservationClient} from './reservation_client.js';

/** Reservation that at most one suspect at a time holds on an engine. */
const RESERVATION_NAME = 'suspect';
/** The reservation serves as a lock, so it takes the least memory. */
const RESERVED_TOKENS = 1;
const LEASE_MS = 30_000;
const RENEW_INTERVAL_MS = 10_000;
const RETRY_INTERVAL_MS = 150;

/** A suspect that waits for an engine or holds one. */
interface IsolatedRun {
  /** Engine whose lease is held; undefined while waiting. */
  engine: string | undefined;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Isolates requests that are suspected of crashing engines: each runs as the
 * only suspect on its engine. A lease at the engine enforces this across all
 * hosts.
 */
export class IsolationLeases {
  private readonly runs = new Map<string, IsolatedRun>();

  constructor(
    private readonly traffic: EngineTraffic,
    private readonly reservations: ReservationClient,
  ) {}

  /**
   * Retries until an engine grants the lease.
   *
   * @param id Identifies the run until `release`.
   * @param excludedEngines Engines to exclude while the model has other usable engines.
   * @param onUnavailable Called when the model has no usable engine.
   */
  acquire(
    id: string,
    model: string,
    excludedEngines: readonly string[],
    onAcquired: (engine: string) => void,
    onUnavailable: () => void,
  ): void {
    this.runs.set(id, {engine: undefined, timer: undefined});
    void this.tryAcquire(id, model, excludedEngines, onAcquired, onUnavailable);
  }

  /** Ends a run whose attempt ended or was abandoned, and frees its lease. */
  release(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.runs.delete(id);
    clearTimeout(run.timer);
    if (run.engine !== undefined) {
      void this.reservations.release(run.engine, RESERVATION_NAME);
    }
  }

  private async tryAcquire(
    id: string,
    model: string,
    excludedEngines: readonly string[],
    onAcquired: (engine: string) => void,
    onUnavailable: () => void,
  ): Promise<void> {
    const engine = this.chooseEngine(id, model, excludedEngines);
    if (engine === undefined) {
      this.runs.delete(id);
      onUnavailable();
      return;
    }
    const isHeld = await this.reserve(id, engine);
    const run = this.runs.get(id);
    if (run === undefined) {
      if (isHeld) void this.reservations.release(engine, RESERVATION_NAME);
      return;
    }
    if (isHeld) {
      run.engine = engine;
      this.scheduleRenewal(id, engine);
      onAcquired(engine);
      return;
    }
    run.timer = setTimeout(() => {
      void this.tryAcquire(
        id,
        model,
        excludedEngines,
        onAcquired,
        onUnavailable,
      );
    }, RETRY_INTERVAL_MS);
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

  private scheduleRenewal(id: string, engine: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    run.timer = setTimeout(() => {
      void this.reserve(id, engine).then(() => {
        this.scheduleRenewal(id, engine);
      });
    }, RENEW_INTERVAL_MS);
  }

  private reserve(id: string, engine: string): Promise<boolean> {
    return this.reservations.reserve(
      engine,
      RESERVATION_NAME,
      RESERVED_TOKENS,
      LEASE_MS,
      id,
    );
  }
}
