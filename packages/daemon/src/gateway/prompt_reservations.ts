import type {UpstreamChoice} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {EventLog} from '../host/event_log.js';
import type {ReservationCalls} from './reservation_calls.js';
import {ReservationOutcome} from './reservation_outcome.js';

/**
 * Length of a lease: below the 4 s within which memory must be free again after a
 * host died, so that nothing has to be swept.
 */
const LEASE_MS = 3_000;
/** Three renewals may be lost before a lease ends. */
const RENEW_MS = 800;
/** Times that a release is sent before the lease is left to end by itself. */
const RELEASE_TRIES = 3;

interface Hold {
  readonly engine: UpstreamEntry;
  readonly reservation: string;
  readonly tokens: number;
}

/** The memory that one attempt has set aside at helpers. */
export class PromptReservations {
  private readonly holds: readonly Hold[];
  private timer: NodeJS.Timeout | undefined;
  private isReleased = false;
  private holdsAll = false;

  /** @param name Names the attempt among all hosts. */
  constructor(
    private readonly name: string,
    {helpers, plan}: UpstreamChoice,
    private readonly calls: ReservationCalls,
    private readonly log: EventLog,
  ) {
    this.holds = helpers.flatMap((engine, at) => {
      const tokens = plan?.parts[at + 1]?.heldTokens ?? 0;
      const reservation = `${name.replace('/', '-')}-${at}`;
      return tokens > 0 ? [{engine, reservation, tokens}] : [];
    });
  }

  get isNeeded(): boolean {
    return this.holds.length > 0;
  }

  /** Whether all leases were taken. */
  get isWhole(): boolean {
    return this.holdsAll;
  }

  /** The reservation at an engine, if there is one. */
  find(engine: UpstreamEntry): string | undefined {
    return this.holds.find(hold => hold.engine.id === engine.id)?.reservation;
  }

  /**
   * Takes all leases; gives back those taken when one is not to be had.
   *
   * @return Engines that did not answer.
   */
  async take(): Promise<UpstreamEntry[]> {
    const outcomes = await Promise.all(
      this.holds.map(hold => this.reserve(hold)),
    );
    this.holdsAll = outcomes.every(one => one === ReservationOutcome.HELD);
    this.log.info('memory_reserved', {
      attempt: this.name,
      engines: this.holds.length,
      tokens: this.holds.reduce((sum, {tokens}) => sum + tokens, 0),
      outcomes: outcomes.join(' '),
    });
    if (!this.holdsAll || this.isReleased) this.release();
    else this.renewAlways();
    return this.holds
      .filter((_hold, at) => outcomes[at] === ReservationOutcome.NO_ANSWER)
      .map(({engine}) => engine);
  }

  private renewAlways(): void {
    this.timer = setInterval(() => {
      for (const hold of this.holds) void this.reserve(hold);
    }, RENEW_MS);
  }

  /** Gives all leases back; what does not answer ends by itself. */
  release(): void {
    clearInterval(this.timer);
    this.isReleased = true;
    for (const hold of this.holds) void this.giveBack(hold);
  }

  private async reserve({
    engine,
    reservation,
    tokens,
  }: Hold): Promise<ReservationOutcome> {
    if (this.isReleased) return ReservationOutcome.REFUSED;
    return this.calls.reserve(engine, reservation, tokens, LEASE_MS);
  }

  private async giveBack({engine, reservation}: Hold): Promise<void> {
    for (let tries = 0; tries < RELEASE_TRIES; tries++) {
      if (await this.calls.release(engine, reservation)) return;
    }
    const upstream = engine.id;
    this.log.warn('memory_left_to_expire', {attempt: this.name, upstream});
  }
}
