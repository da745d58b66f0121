import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {EventLog} from '../../host/event_log.js';
import {DEFAULT_HEADER_NAMES} from '../default_header_names.js';
import type {EngineReservations} from './engine_reservations.js';
import type {LeavingListener} from './leaving_listener.js';
import {ReservationOutcome} from './reservation_outcome.js';
import {StatusClient} from '../callers/status_client.js';

const OK_STATUS = 200;
const CREATED_STATUS = 201;

/** Reserves memory at engines over Parsleywood's own HTTP interface. */
export class EngineReservationClient implements EngineReservations {
  private readonly client: StatusClient;

  /** @param owner Name of this host as the owner of its reservations. */
  constructor(
    private readonly owner: string,
    log: EventLog,
  ) {
    this.client = new StatusClient(
      log,
      'reservation_call_failed',
      DEFAULT_HEADER_NAMES.leaving,
    );
  }

  async reserve(
    engine: UpstreamEntry,
    reservation: string,
    tokens: number,
    leaseMs: number,
  ): Promise<ReservationOutcome> {
    const content = {owner: this.owner, tokens, expiresInMs: leaseMs};
    const path = buildReservationPath(reservation);
    const call = {method: 'POST' as const, path, content};
    const status = await this.client.send(engine, call);
    if (status === undefined) return ReservationOutcome.NO_ANSWER;
    const isHeld = status === OK_STATUS || status === CREATED_STATUS;
    return isHeld ? ReservationOutcome.HELD : ReservationOutcome.REFUSED;
  }

  listenForLeaving(listener: LeavingListener): void {
    this.client.listenForLeaving(listener);
  }

  async release(engine: UpstreamEntry, reservation: string): Promise<boolean> {
    const call = {
      method: 'DELETE' as const,
      path: buildReservationPath(reservation),
    };
    return (await this.client.send(engine, call)) !== undefined;
  }
}

function buildReservationPath(reservation: string): string {
  return `/v1/reservations/${encodeURIComponent(reservation)}`;
}
