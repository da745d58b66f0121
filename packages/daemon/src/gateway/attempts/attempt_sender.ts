import {setTimeout as pause} from 'node:timers/promises';
import {AttemptOutcome, type RouteMatch} from '@parsleywood/forwarding';
import {handlePendingInput} from '../../host/handle_pending_input.js';
import type {AttemptPlacer} from './attempt_placer.js';
import {buildUpstreamRequest} from './build_upstream_request.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import {PromptReservations} from './prompt_reservations.js';
import type {ReceivedRequest} from '../callers/received_request.js';
import type {ResponseListener} from './response_listener.js';
import {recordLeaving} from '../upstreams/record_leaving.js';
import {recordRest} from '../upstreams/record_rest.js';
import {ResponseSwitch} from './response_switch.js';
import type {SentAttempt} from './sent_attempt.js';
import type {SessionRetries} from './session_retries.js';
import {UpstreamAttempt} from '../upstreams/upstream_attempt.js';

const MISDIRECTED_STATUS = 421;
/** Interval at which an upstream is checked that has left and ends its work. */
const DEPARTURE_INTERVAL_MS = 1_000;

/** Sends the attempts of one request, with engine memory reserved where needed. */
export class AttemptSender {
  private attempt: UpstreamAttempt | undefined;
  private response: ResponseSwitch | undefined;
  private reservations: PromptReservations | undefined;
  private sent = 0;
  private isChecking = false;

  /**
   * @param listener Called until the attempt ends, also when it is not sent.
   * @param onSent Called when an attempt is sent.
   * @param getLeftMs Returns the time until the deadline of the request.
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly placer: AttemptPlacer,
    private readonly listener: ResponseListener,
    private readonly onSent: (placed: PlacedAttempt) => void,
    private readonly getLeftMs: () => number,
  ) {}

  /** The attempt that is sent and has not ended. */
  get current(): UpstreamAttempt | undefined {
    return this.attempt;
  }

  get sentAttempts(): number {
    return this.sent;
  }

  /** @param lastEventId Event after which the response goes on. */
  send(placed: PlacedAttempt, lastEventId: string | undefined): void {
    const {context} = this;
    if (this.placer.isEvacuated(placed)) {
      this.withdraw();
      return;
    }
    const reservations = new PromptReservations(
      placed.placement.id,
      placed.choice,
      context.reservationClient,
      context.log,
    );
    this.reservations = reservations;
    if (reservations.isNeeded) {
      void this.sendReserved(placed, reservations, lastEventId);
    } else {
      this.start(placed, lastEventId);
    }
  }

  /** Ends the attempt and frees what was reserved for it. */
  end(): void {
    this.attempt?.cancel();
    this.attempt = undefined;
    this.reservations?.release();
    this.reservations = undefined;
  }

  /**
   * Ends the attempt once its upstream has left and is gone. One that may not be
   * repeated waits for an upstream that may be back.
   */
  async checkDeparture({isRepeatable}: SessionRetries): Promise<void> {
    const {attempt} = this;
    const {departureCheck} = this.context;
    const upstream = this.placer.currentAttempt?.choice.upstream;
    if (this.isChecking || !attempt || !upstream) return;
    this.isChecking = true;
    const isOpen = (): boolean => this.attempt === attempt && !attempt.isOver;
    while (isOpen() && !departureCheck.isListed(upstream)) {
      // What is not read may be a whole response.
      const isGone =
        !attempt.isHeld &&
        (await departureCheck.isGone(upstream, !isRepeatable));
      if (isGone && isOpen()) {
        attempt.cancel();
        const detail = 'upstream has left and is gone';
        // That a server lost power is no evidence against the request.
        this.listener.onEnd(AttemptOutcome.TIMED_OUT, detail);
      } else await pause(DEPARTURE_INTERVAL_MS, undefined, {ref: false});
    }
    this.isChecking = false;
  }

  /** Sets the attempt that is sent aside, so that another one can be sent. */
  suspend(): SentAttempt | undefined {
    const {attempt, response, reservations} = this;
    if (attempt === undefined || response === undefined) return undefined;
    this.attempt = undefined;
    this.reservations = undefined;
    return {attempt, response, reservations};
  }

  /** Goes on with an attempt that was set aside. */
  resume({attempt, response, reservations}: SentAttempt): void {
    this.attempt = attempt;
    this.response = response;
    this.reservations = reservations;
  }

  /** Ends an attempt that was set aside. */
  discard({attempt, reservations}: SentAttempt): void {
    attempt.cancel();
    reservations?.release();
  }

  private async sendReserved(
    placed: PlacedAttempt,
    reserved: PromptReservations,
    lastEventId: string | undefined,
  ): Promise<void> {
    const unresponsive = await reserved.reserveAll();
    await handlePendingInput();
    for (const engine of unresponsive) {
      this.placer.penalize(engine, true, AttemptOutcome.TIMED_OUT, 0);
    }
    if (this.reservations !== reserved) reserved.release();
    else if (this.placer.isEvacuated(placed)) this.withdraw();
    else if (reserved.isComplete) this.start(placed, lastEventId);
    else {
      const detail = 'engine memory could not be reserved';
      this.listener.onEnd(AttemptOutcome.REFUSED, detail);
    }
  }

  private start(placed: PlacedAttempt, lastEventId: string | undefined): void {
    const {context} = this;
    if (!this.placer.confirmSend(placed)) {
      const detail = 'upstream is cold, and the attempt waited for too long';
      this.listener.onEnd(AttemptOutcome.WITHDRAWN, detail);
      return;
    }
    const {upstream} = placed.choice;
    const response = new ResponseSwitch(this.listener, head => {
      context.reach.recordAnswer();
      if (head.status === MISDIRECTED_STATUS) return;
      recordRest(context, upstream, head.restMs);
      if (head.isLeaving) recordLeaving(context, upstream);
      if (head.unreadableRest !== undefined) {
        context.unreadableRests.record(upstream.id, head.unreadableRest);
      }
      if (head.unreadableRateLimit !== undefined) {
        const {unreadableLimits} = context;
        unreadableLimits.record(upstream.id, head.unreadableRateLimit);
      }
    });
    let attempt: UpstreamAttempt;
    try {
      const request = buildUpstreamRequest(
        this.request,
        this.match,
        placed,
        this.reservations,
        this.getLeftMs(),
        lastEventId,
        context.headerNames,
      );
      attempt = new UpstreamAttempt(
        request,
        context.connectionPool,
        context.headerNames,
        response,
        () => this.mayStillSend(placed),
      );
    } catch (error) {
      // The entry names no address, so nothing was sent.
      this.listener.onEnd(AttemptOutcome.NOT_SENT, String(error));
      return;
    }
    this.response = response;
    this.attempt = attempt;
    this.sent++;
    const {latencyObjectiveMs} = this.match.route;
    const {expectedMs = latencyObjectiveMs} = placed.choice.plan ?? {};
    context.reach.recordSend(expectedMs);
    this.onSent(placed);
    attempt.start();
  }

  /** Whether an attempt whose connection is open may be sent. */
  private mayStillSend(placed: PlacedAttempt): boolean {
    if (!this.placer.isEvacuated(placed)) return true;
    this.sent--;
    return false;
  }

  /** Ends an attempt whose upstream was evacuated before it was sent. */
  private withdraw(): void {
    this.listener.onEnd(AttemptOutcome.WITHDRAWN, 'upstream was evacuated');
  }
}
