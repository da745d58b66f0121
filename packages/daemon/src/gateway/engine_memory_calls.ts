import type {UpstreamEntry} from '@parsleywood/forwarding';
import {Agent} from 'undici';
import type {EventLog} from '../host/event_log.js';
import type {ReservationCalls} from './reservation_calls.js';
import {ReservationOutcome} from './reservation_outcome.js';

/** Time for an engine's answer: engines answer in milliseconds. */
const ANSWER_MS = 400;
const OK_STATUS = 200;
const CREATED_STATUS = 201;

/** Sets memory aside at engines that speak the product's own interface. */
export class EngineMemoryCalls implements ReservationCalls {
  private readonly agent = new Agent({connect: {timeout: ANSWER_MS}});

  /** @param owner Names this host among the owners of reservations. */
  constructor(
    private readonly owner: string,
    private readonly log: EventLog,
  ) {}

  async reserve(
    engine: UpstreamEntry,
    reservation: string,
    tokens: number,
    leaseMs: number,
  ): Promise<ReservationOutcome> {
    const content = {owner: this.owner, tokens, expiresInMs: leaseMs};
    const status = await this.send(engine, reservation, 'POST', content);
    if (status === undefined) return ReservationOutcome.NO_ANSWER;
    const isHeld = status === OK_STATUS || status === CREATED_STATUS;
    return isHeld ? ReservationOutcome.HELD : ReservationOutcome.REFUSED;
  }

  async release(engine: UpstreamEntry, reservation: string): Promise<boolean> {
    const status = await this.send(engine, reservation, 'DELETE');
    return status !== undefined;
  }

  private async send(
    engine: UpstreamEntry,
    reservation: string,
    method: 'POST' | 'DELETE',
    content?: object,
  ): Promise<number | undefined> {
    try {
      const answer = await this.agent.request({
        origin: `http://${engine.address}`,
        path: `/v1/reservations/${encodeURIComponent(reservation)}`,
        method,
        ...(content && {
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(content),
        }),
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch (error) {
      const upstream = engine.id;
      this.log.warn('reservation_call_failed', {
        upstream,
        reason: String(error),
      });
      return undefined;
    }
  }
}
