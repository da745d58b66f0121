import type {UpstreamChoice} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {EventLog} from '../../host/event_log.js';
import type {EngineReservations} from '../upstreams/engine_reservations.js';
import {ReservationOutcome} from '../upstreams/reservation_outcome.js';

/**
 * Lease duration. It is below the 4 s within which memory must be free again
 * after a host has died, so that no cleanup of its reservations is needed.
 */
const LEASE_MS = 3_000;
/** Renewal interval; a lease expires only after three lost renewals. */
const RENEWAL_INTERVAL_MS = 800;
/** Attempts at a release before the lease is left to expire. */
const MAX_RELEASE_ATTEMPTS = 3;

interface HelperReservation {
  readonly engine: UpstreamEntry;
  readonly reservation: string;
  readonly tokens: number;
}

/**
 * Memory that one attempt reserves at its helpers: the engines that prefill
 * parts of the prompt.
 */
export class PromptReservations {
  private readonly reservations: readonly HelperReservation[];
  private timer: NodeJS.Timeout | undefined;
  private isReleased = false;
  private isAllHeld = false;

  /** @param name Name of the attempt, unique among all hosts. */
  constructor(
    private readonly name: string,
    {helpers, plan}: UpstreamChoice,
    private readonly client: EngineReservations,
    private readonly log: EventLog,
  ) {
    this.reservations = helpers.flatMap((engine, index) => {
      const tokens = plan?.parts[index + 1]?.heldTokens ?? 0;
      const reservation = `${name.replace('/', '-')}-${index}`;
      return tokens > 0 ? [{engine, reservation, tokens}] : [];
    });
  }

  get isNeeded(): boolean {
    return this.reservations.length > 0;
  }

  /** Whether all leases have been acquired. */
  get isComplete(): boolean {
    return this.isAllHeld;
  }

  /** Names a helper for the engine that answers: address and reservation. */
  formatHelper({id, address}: UpstreamEntry): string {
    const held = this.reservations.find(one => one.engine.id === id);
    return held === undefined ? address : `${address}/${held.reservation}`;
  }

  /**
   * Acquires all leases, or releases those acquired when one cannot be.
   *
   * @return Engines that did not respond.
   */
  async reserveAll(): Promise<UpstreamEntry[]> {
    const outcomes = await Promise.all(
      this.reservations.map(one => this.reserveOne(one)),
    );
    this.isAllHeld = outcomes.every(one => one === ReservationOutcome.HELD);
    this.log.info('memory_reserved', {
      attempt: this.name,
      engines: this.reservations.length,
      tokens: this.reservations.reduce((sum, {tokens}) => sum + tokens, 0),
      outcomes: outcomes.join(' '),
    });
    if (!this.isAllHeld || this.isReleased) this.release();
    else this.startRenewal();
    return this.reservations
      .filter((_one, index) => outcomes[index] === ReservationOutcome.NO_ANSWER)
      .map(({engine}) => engine);
  }

  private startRenewal(): void {
    this.timer = setInterval(() => {
      for (const one of this.reservations) void this.reserveOne(one);
    }, RENEWAL_INTERVAL_MS);
  }

  /** Releases all leases. Those of engines that do not respond expire. */
  release(): void {
    clearInterval(this.timer);
    this.isReleased = true;
    for (const one of this.reservations) void this.releaseOne(one);
  }

  private async reserveOne({
    engine,
    reservation,
    tokens,
  }: HelperReservation): Promise<ReservationOutcome> {
    if (this.isReleased) return ReservationOutcome.REFUSED;
    return this.client.reserve(engine, reservation, tokens, LEASE_MS);
  }

  private async releaseOne({
    engine,
    reservation,
  }: HelperReservation): Promise<void> {
    for (let attempts = 0; attempts < MAX_RELEASE_ATTEMPTS; attempts++) {
      if (await this.client.release(engine, reservation)) return;
    }
    const upstream = engine.id;
    this.log.warn('memory_left_to_expire', {attempt: this.name, upstream});
  }
}
