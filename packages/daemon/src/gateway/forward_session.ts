import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {
  AttemptEnd,
  chooseReturn,
  EventCursor,
  NextStep,
  RequestKind,
  RequestLife,
  type RouteMatch,
  type Route,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {refuseCondemned} from '../callers/refuse_condemned.js';
import type {AnswerHead} from './response_head.js';
import type {AttemptWatcher} from './response_listener.js';
import type {CallerReply} from './response_writer.js';
import {CrashJudge} from './crash_detector.js';
import {drawService} from './draw_service.js';
import {findTimeLimit} from './compute_time_limit.js';
import type {GatewayParts} from './gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import {PlainAnswer} from './response_buffer.js';
import {PromptReservations} from './prompt_reservations.js';
import type {ReceivedRequest} from './received_request.js';
import {SessionLog} from './session_log.js';
import {SessionOutcome} from './session_outcome.js';
import {SilenceWatch} from './inactivity_timer.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import {UpstreamDesk} from './attempt_placer.js';
import {writeAttemptHeaders} from './build_attempt_headers.js';

/** When to come back after upstreams could not be reached. */
const UNAVAILABLE_RETRY_MS = 300;
const LOWEST_RANK = 9;
const SERVER_ERROR_STATUS = 500;
const OK_STATUS = 200;

/** Forwards one request: sends attempts, relays the answer, ends in time. */
export class ForwardSession implements AttemptWatcher {
  private readonly life: RequestLife;
  private readonly route: Route;
  private readonly cursor: EventCursor;
  private readonly desk: UpstreamDesk;
  private readonly log: SessionLog;
  private readonly crashes: CrashJudge;
  private readonly deadlineMs: number;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private readonly silence: SilenceWatch;
  private attempt: UpstreamAttempt | undefined;
  private reserved: PromptReservations | undefined;
  private head: AnswerHead | undefined;
  private plain = new PlainAnswer();
  private sentAttempts = 0;
  private isOver = false;

  /** @param onOver Told once when the request has its final answer. */
  constructor(
    private readonly parts: GatewayParts,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly reply: CallerReply,
    private readonly onOver: () => void,
  ) {
    const {route} = match;
    this.route = route;
    this.life = new RequestLife(route);
    const {facts, receivedAtMs} = request;
    this.cursor = new EventCursor(facts.lastEventId);
    const service = drawService(route, parts.draw());
    this.log = new SessionLog(parts, match, request, service);
    this.deadlineMs = receivedAtMs + findTimeLimit(facts, route);
    const {deadlineMs} = this;
    this.desk = new UpstreamDesk(parts, match, request, service, deadlineMs);
    this.silence = new SilenceWatch(
      route,
      this.life.isRepeatable,
      () => {
        this.endSilent();
      },
      () => {
        void this.checkUpstreams();
      },
    );
    this.crashes = new CrashJudge(parts, route, request, this.desk, this.log);
  }

  start(): void {
    this.parts.budgets.recordRequest(this.desk.service);
    this.deadlineTimer = setTimeout(() => {
      this.endAtDeadline();
    }, this.leftMs());
    if (this.crashes.isCondemned()) this.fail(refuseCondemned());
    else this.sendAttempt();
  }

  /** The caller closed the connection. */
  abandon(): void {
    if (this.isOver) return;
    this.endAttempt();
    this.finish(SessionOutcome.CALLER_GONE);
  }

  /** Ends the request because this host stops. */
  stop(): void {
    if (this.isOver) return;
    const ran = this.ran();
    this.endAttempt();
    const kind = ErrorKind.HOST_UNAVAILABLE;
    // A request that may have run must not be told to come back.
    const told = ran === Ran.NO ? kind : ErrorKind.UPSTREAM_FAILED;
    this.fail(new Failure(told, 'this host stops', ran));
  }

  onHead(head: AnswerHead): boolean {
    this.head = head;
    this.log.noteHead();
    if (this.isStreaming()) {
      this.silence.expectEvent();
    }
    return true;
  }

  onData(chunk: Buffer): void {
    if (!this.isStreaming()) {
      this.plain.take(chunk);
      const {fault} = this.plain;
      if (fault !== undefined) this.giveUp(AttemptEnd.BROKEN, fault);
      return;
    }
    const events = this.cursor.take(chunk);
    if (events === undefined) {
      this.giveUp(AttemptEnd.BROKEN, 'answer is no stream of events');
    } else if (events.length > 0) {
      this.relay(events);
    }
  }

  onEnd(end: AttemptEnd, detail: string): void {
    if (this.isOver) return;
    const {head} = this;
    const isCut = this.isStreaming() && this.cursor.isInsideEvent;
    const actual =
      end === AttemptEnd.ANSWERED && isCut ? AttemptEnd.BROKEN : end;
    const status = actual === AttemptEnd.ANSWERED ? (head?.status ?? 0) : 0;
    this.log.attemptOver(actual, status, detail, this.desk.current);
    if (actual === AttemptEnd.BROKEN) void this.crashes.noteBreak();
    this.desk.judge(actual, head?.status ?? 0, head?.faultyAddress ?? '');
    this.endAttempt();
    const step = this.life.endAttempt(
      actual,
      status,
      this.leftMs(),
      this.desk.hasOther,
      () => this.parts.budgets.tryRetry(this.desk.service),
    );
    if (step === NextStep.RETRY) this.sendAttempt();
    else if (step === NextStep.PASS_ON && head) this.passOn(head);
    else this.failAfterAttempts(detail || 'upstream refused');
  }

  private sendAttempt(): void {
    const placed = this.desk.place(this.life.attempts);
    if (!('placement' in placed)) {
      this.refuse(placed.waitMs);
      return;
    }
    this.head = undefined;
    this.plain = new PlainAnswer();
    this.cursor.dropPart();
    const {parts} = this;
    const reserved = new PromptReservations(
      placed.placement.id,
      placed.choice,
      parts.reservations,
      parts.log,
    );
    this.reserved = reserved;
    if (reserved.isNeeded) void this.sendReserved(placed, reserved);
    else this.send(placed);
  }

  private async sendReserved(
    placed: PlacedAttempt,
    reserved: PromptReservations,
  ): Promise<void> {
    const unanswered = await reserved.take();
    for (const engine of unanswered) {
      this.desk.blame(engine, true, AttemptEnd.SILENT, 0);
    }
    if (this.isOver || this.reserved !== reserved) reserved.release();
    else if (reserved.isWhole) this.send(placed);
    else this.onEnd(AttemptEnd.REFUSED, 'no memory reserved');
  }

  private send(placed: PlacedAttempt): void {
    const {parts, request} = this;
    const {method, target, id} = request.facts;
    this.attempt = new UpstreamAttempt(
      {
        id,
        upstream: placed.choice.upstream,
        method,
        target,
        headers: this.writeHeaders(placed),
        body: request.body,
      },
      parts.connections,
      parts.names,
      this,
    );
    this.sentAttempts++;
    this.silence.expectAnswer(placed.choice.plan);
    this.log.attemptSent(this.life.attempts, placed, this.leftMs());
    this.attempt.start();
  }

  private writeHeaders({choice}: PlacedAttempt): string[] {
    const {request, match, route} = this;
    const rank = match.account?.priority ?? route.priority;
    return writeAttemptHeaders(
      request.headers,
      request.body.length,
      {
        upstreamId: choice.upstream.id,
        account: match.account?.name,
        leftMs: this.leftMs(),
        afterEventId: this.cursor.lastId,
        rank: choice.plan && Math.min(LOWEST_RANK, rank),
        helpers: choice.helpers.map(helper => this.nameHelper(helper)),
      },
      this.parts.names,
    );
  }

  private nameHelper(helper: UpstreamEntry): string {
    const reservation = this.reserved?.find(helper);
    const {address} = helper;
    return reservation === undefined ? address : `${address}/${reservation}`;
  }

  private relay(events: Buffer): void {
    this.silence.expectEvent();
    this.desk.noteEvents();
    this.log.noteEvents();
    if (!this.reply.hasStarted && this.head) this.reply.start(this.head);
    this.reply.write(events);
  }

  /** Moves the request early when one of its engines cannot be reached. */
  private async checkUpstreams(): Promise<void> {
    const {attempt} = this;
    const unreached = await this.desk.findUnreached();
    if (this.isOver || this.attempt !== attempt || this.head) return;
    for (const engine of unreached) {
      this.desk.blame(engine, true, AttemptEnd.SILENT, 0);
    }
    if (unreached.length > 0) this.endSilent();
  }

  /** Moves a silent request once; one that cannot be moved waits on. */
  private endSilent(): void {
    if (this.isOver || !this.mayMove()) return;
    this.giveUp(AttemptEnd.SILENT, 'upstream silent');
  }

  /** Ends the open attempt from this side. */
  private giveUp(end: AttemptEnd, detail: string): void {
    this.attempt?.cancel();
    this.onEnd(end, detail);
  }

  private mayMove(): boolean {
    const {desk, life, parts} = this;
    return (
      life.attempts === 0 &&
      life.allowsMove(this.leftMs()) &&
      parts.budgets.hasRetry(desk.service) &&
      desk.hasRoomElsewhere
    );
  }

  private endAtDeadline(): void {
    if (this.isOver) return;
    const ran = this.ran();
    this.endAttempt();
    this.fail(new Failure(ErrorKind.TIME_LIMIT, 'time limit passed', ran));
  }

  private endAttempt(): void {
    this.silence.stop();
    this.attempt?.cancel();
    this.attempt = undefined;
    this.reserved?.release();
    this.reserved = undefined;
    this.desk.end();
  }

  private passOn(head: AnswerHead): void {
    if (this.isStreaming()) {
      if (!this.reply.hasStarted) this.reply.start(head);
      this.reply.end();
      this.crashes.noteSuccess();
    } else if (this.reply.hasStarted) {
      // The status of the first upstream is sent; only a cut shows the failure.
      this.reply.abort();
    } else {
      this.reply.send(head, this.plain.join());
    }
    this.finish(
      head.status < SERVER_ERROR_STATUS
        ? SessionOutcome.ANSWERED
        : SessionOutcome.UPSTREAM_ERROR,
    );
  }

  /** @param waitMs Time until there is room; 0 or below when unknown. */
  private refuse(waitMs: number): void {
    if (this.desk.isTooLong) {
      const message = 'no set of engines holds a prompt of this length';
      this.fail(new Failure(ErrorKind.PROMPT_TOO_LONG, message));
      return;
    }
    if (this.life.attempts > 0) {
      this.failAfterAttempts('no other upstream');
      return;
    }
    const {service, hasUpstreams} = this.desk;
    const [kind, message] = hasUpstreams
      ? [ErrorKind.OVERLOADED, `no room at ${service}`]
      : [ErrorKind.UPSTREAM_UNAVAILABLE, `no upstream of ${service}`];
    this.fail(new Failure(kind, message, Ran.NO, chooseReturn(waitMs)));
  }

  private failAfterAttempts(message: string): void {
    this.fail(this.life.describeFailure(message, UNAVAILABLE_RETRY_MS));
  }

  private fail(failure: Failure): void {
    if (this.reply.hasStarted) this.reply.abort();
    else this.reply.fail(failure);
    this.finish(failure);
  }

  private finish(outcome: SessionOutcome | Failure): void {
    this.isOver = true;
    clearTimeout(this.deadlineTimer);
    this.silence.stop();
    const {sentAttempts, cursor, head} = this;
    this.log.over(outcome, head?.status, sentAttempts, cursor.count);
    this.onOver();
  }

  private isStreaming(): boolean {
    return (
      this.route.kind === RequestKind.STREAM && this.head?.status === OK_STATUS
    );
  }

  /** Whether an upstream may have run the request, now or before. */
  private ran(): Ran {
    return this.attempt === undefined ? this.life.ran : Ran.UNKNOWN;
  }

  private leftMs(): number {
    return this.deadlineMs - this.parts.clock.nowMs();
  }
}
