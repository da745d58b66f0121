import type {PromptDemand, UpstreamChoice} from '@parsleywood/dispatch';
import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {
  AttemptEnd,
  EventCursor,
  NextStep,
  RequestKind,
  RequestLife,
  type Passage,
  type Route,
  type Service,
} from '@parsleywood/forwarding';
import type {AnswerHead} from './answer_head.js';
import {attemptPatience} from './attempt_patience.js';
import type {AttemptWatcher} from './attempt_watcher.js';
import type {CallerReply} from './caller_reply.js';
import type {GatewayParts} from './gateway_parts.js';
import type {ReceivedRequest} from './received_request.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import {writeAttemptHeaders} from './write_attempt_headers.js';

/** When to come back after a refusal for want of room, in milliseconds. */
const ROOM_RETRY_MS = 500;
/** When to come back after upstreams could not be reached. */
const UNAVAILABLE_RETRY_MS = 300;
const HIGHEST_RANK = 9;
const SERVER_ERROR_STATUS = 500;
const OK_STATUS = 200;

/** Forwards one request: chooses upstreams, relays the answer, ends in time. */
export class ForwardSession implements AttemptWatcher {
  private readonly life: RequestLife;
  private readonly route: Route;
  private readonly cursor: EventCursor;
  private readonly tried = new Set<string>();
  private readonly service: string;
  private readonly deadlineMs: number;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private attempt: UpstreamAttempt | undefined;
  private choice: UpstreamChoice | undefined;
  private placementId = '';
  private attemptSentMs = 0;
  private head: AnswerHead | undefined;
  private body: Buffer[] = [];
  private firstEventMs = 0;
  private isOver = false;

  /** @param onOver Told once when the request has its final answer. */
  constructor(
    private readonly parts: GatewayParts,
    private readonly passage: Passage,
    private readonly request: ReceivedRequest,
    private readonly reply: CallerReply,
    private readonly onOver: () => void,
  ) {
    const {route} = passage;
    this.route = route;
    this.life = new RequestLife(route);
    const {facts} = request;
    this.cursor = new EventCursor(facts.lastEventId);
    this.service = drawService(route, parts.draw());
    const limitMs = Math.min(facts.timeLimitMs ?? Infinity, route.timeoutMs);
    this.deadlineMs = request.receivedAtMs + limitMs;
  }

  start(): void {
    const {parts} = this;
    parts.budgets.recordRequest(this.service);
    this.deadlineTimer = setTimeout(() => {
      this.endAtDeadline();
    }, this.leftMs());
    this.sendAttempt();
  }

  /** The caller closed the connection. */
  abandon(): void {
    if (this.isOver) return;
    this.endAttempt();
    this.finish('caller_gone');
  }

  /** Ends the request because this host stops. */
  stop(): void {
    if (this.isOver) return;
    this.endAttempt();
    this.fail(
      new Failure(ErrorKind.HOST_UNAVAILABLE, 'this host stops', this.life.ran),
    );
  }

  onHead(head: AnswerHead): boolean {
    this.head = head;
    const {route} = this;
    this.parts.metrics.firstByteSeconds.observe(
      {service: this.service},
      (this.nowMs() - this.request.receivedAtMs) / 1_000,
    );
    if (route.kind !== RequestKind.STREAM || head.status !== OK_STATUS)
      return true;
    this.armSilence(attemptPatience.forPause(route));
    return true;
  }

  onData(chunk: Buffer): void {
    if (!this.isStreaming()) {
      this.body.push(chunk);
      return;
    }
    const events = this.cursor.take(chunk);
    if (events === undefined) {
      this.attempt?.cancel();
      this.onEnd(AttemptEnd.BROKEN, 'answer is no stream of events');
      return;
    }
    if (events.length === 0) return;
    this.armSilence(attemptPatience.forPause(this.route));
    this.noteFirstEvent();
    if (!this.reply.hasStarted && this.head) this.reply.start(this.head);
    this.reply.write(events);
  }

  onEnd(end: AttemptEnd, detail: string): void {
    if (this.isOver) return;
    const {head, choice} = this;
    const actual =
      end === AttemptEnd.ANSWERED &&
      this.isStreaming() &&
      this.cursor.isInsideEvent
        ? AttemptEnd.BROKEN
        : end;
    const status = end === AttemptEnd.ANSWERED ? (head?.status ?? 0) : 0;
    this.judgeUpstream(actual, status);
    this.endAttempt();
    this.logAttempt(actual, status, detail);
    const isNext = this.hasNext();
    const step = this.life.endAttempt(
      actual,
      status,
      this.leftMs(),
      isNext,
      () => this.parts.budgets.tryRetry(this.service),
    );
    if (choice) this.tried.add(choice.upstream.id);
    if (step === NextStep.RETRY) this.sendAttempt();
    else if (step === NextStep.PASS_ON && head) this.passOn(head);
    else
      this.fail(
        this.life.describeFailure(
          detail || 'upstream refused',
          UNAVAILABLE_RETRY_MS,
        ),
      );
  }

  private sendAttempt(): void {
    const {parts, request, passage, route} = this;
    const choice = this.choose();
    if (choice === undefined) {
      this.refuse();
      return;
    }
    this.choice = choice;
    this.head = undefined;
    this.body = [];
    this.cursor.dropPart();
    this.attemptSentMs = this.nowMs();
    this.place(choice);
    const headers = writeAttemptHeaders(
      request.headers,
      request.body.length,
      {
        upstreamId: choice.upstream.id,
        account: passage.account?.name,
        leftMs: this.leftMs(),
        afterEventId: this.cursor.lastId,
        rank: choice.plan && this.rank(),
        helpers: choice.helpers.map(({address}) => address),
      },
      parts.names,
    );
    const {method, target, id} = request.facts;
    const {upstream} = choice;
    const sent = {id, upstream, method, target, headers, body: request.body};
    this.attempt = new UpstreamAttempt(
      sent,
      parts.connections,
      parts.names,
      this,
    );
    this.armFirst(choice, route);
    this.attempt.start();
  }

  private choose(): UpstreamChoice | undefined {
    const {parts, passage} = this;
    const nowMs = this.nowMs();
    const usable = parts.ledger.upstreams.usable(this.service, nowMs);
    const candidates = parts.chooser.candidates(usable, this.tried, nowMs);
    const service = passage.rules.service(this.service);
    if (service?.engine === undefined) {
      return parts.chooser.chooseService(candidates, parts.draw(), nowMs);
    }
    return parts.chooser.chooseEngines(
      candidates,
      service,
      this.demand(service),
      nowMs,
    );
  }

  private demand(service: Service): PromptDemand {
    const {facts} = this.request;
    const {route} = this;
    const waitedMs = this.nowMs() - this.request.receivedAtMs;
    const mean = service.engine?.meanAnswerTokens ?? 0;
    const most = facts.maxAnswerTokens || Infinity;
    return {
      promptTokens: facts.promptTokens,
      answerTokens: Math.min(facts.answerEstimate || mean, most),
      objectiveMs: route.latencyObjectiveMs - waitedMs,
      patienceMs: attemptPatience.ofCaller(route) - waitedMs,
    };
  }

  private place({upstream, plan}: UpstreamChoice): void {
    const {parts, request} = this;
    const {facts} = request;
    this.placementId = `${facts.id}/${this.life.attempts}`;
    const placement = {
      id: this.placementId,
      host: '',
      upstream: upstream.id,
      promptTokens: facts.promptTokens,
      answerTokens: facts.answerEstimate || facts.maxAnswerTokens,
      parts: plan?.parts ?? [
        {upstream: upstream.id, tokens: 0, millionPairs: 0},
      ],
    };
    parts.book.add(placement, this.nowMs());
    parts.fleet.tellStart(placement);
  }

  private armFirst({plan}: UpstreamChoice, route: Route): void {
    if (plan !== undefined) {
      this.armSilence(attemptPatience.forFirstEvent(route, plan.expectedMs));
    } else if (this.life.isRepeatable) {
      this.armSilence(attemptPatience.forCall(route));
    }
  }

  private armSilence(afterMs: number): void {
    clearTimeout(this.silenceTimer);
    if (!this.life.isRepeatable) return;
    this.silenceTimer = setTimeout(() => {
      this.endSilent();
    }, afterMs);
  }

  /** Moves the request when there is where to move it. */
  private endSilent(): void {
    if (this.isOver || !this.hasNext() || this.life.attempts > 0) return;
    const upstream = this.choice?.upstream.id;
    if (upstream !== undefined) this.parts.connections.distrust(upstream);
    this.attempt?.cancel();
    this.onEnd(AttemptEnd.SILENT, 'upstream silent');
  }

  private endAtDeadline(): void {
    if (this.isOver) return;
    const hasSent = this.attempt !== undefined;
    this.endAttempt();
    const ran = hasSent ? Ran.UNKNOWN : this.life.ran;
    this.fail(new Failure(ErrorKind.TIME_LIMIT, 'time limit passed', ran));
  }

  private endAttempt(): void {
    clearTimeout(this.silenceTimer);
    this.attempt?.cancel();
    this.attempt = undefined;
    if (this.placementId === '') return;
    this.parts.book.end(this.placementId);
    this.parts.fleet.tellEnd(this.placementId);
    this.placementId = '';
  }

  private noteFirstEvent(): void {
    if (this.placementId === '') return;
    const {parts, choice} = this;
    if (this.firstEventMs === 0) this.firstEventMs = this.nowMs();
    const record = this.placementId;
    parts.book.startWriting(record, this.nowMs());
    parts.fleet.tellWriting(record);
    if (choice?.plan === undefined) return;
    const tookMs = this.nowMs() - this.attemptSentMs;
    parts.health.takeTime(
      choice.upstream.id,
      tookMs / Math.max(choice.plan.expectedMs, 1),
    );
  }

  private judgeUpstream(end: AttemptEnd, status: number): void {
    const {parts, choice} = this;
    if (choice === undefined) return;
    const {id} = choice.upstream;
    const isFine = end === AttemptEnd.ANSWERED && status < SERVER_ERROR_STATUS;
    if (isFine) {
      parts.health.takeSuccess(id);
      return;
    }
    if (end === AttemptEnd.REFUSED) return;
    const isCertain = end === AttemptEnd.NOT_SENT || end === AttemptEnd.SILENT;
    if (!parts.health.takeFailure(id, isCertain, this.nowMs())) return;
    parts.fleet.tellFailure(id);
    parts.log.warn('upstream_avoided', {upstream: id, end, status});
  }

  private hasNext(): boolean {
    const {parts, choice} = this;
    const nowMs = this.nowMs();
    return parts.ledger.upstreams
      .usable(this.service, nowMs)
      .some(({id}) => id !== choice?.upstream.id && !this.tried.has(id));
  }

  private passOn(head: AnswerHead): void {
    if (this.isStreaming()) {
      if (!this.reply.hasStarted) this.reply.start(head);
      this.reply.end();
    } else if (this.reply.hasStarted) {
      this.reply.abort();
      this.finish('cut_off');
      return;
    } else {
      this.reply.send(head, Buffer.concat(this.body));
    }
    this.finish(
      head.status < SERVER_ERROR_STATUS ? 'answered' : 'upstream_error',
    );
  }

  private refuse(): void {
    if (this.life.attempts > 0) {
      this.fail(
        this.life.describeFailure('no other upstream', UNAVAILABLE_RETRY_MS),
      );
      return;
    }
    const usable = this.parts.ledger.upstreams.usable(
      this.service,
      this.nowMs(),
    );
    const [kind, message] =
      usable.length === 0
        ? [ErrorKind.UPSTREAM_UNAVAILABLE, `no upstream of ${this.service}`]
        : [ErrorKind.OVERLOADED, `no room at ${this.service}`];
    this.fail(new Failure(kind, message, Ran.NO, ROOM_RETRY_MS));
  }

  private fail(failure: Failure): void {
    if (this.reply.hasStarted) this.reply.abort();
    else this.reply.fail(failure);
    this.finish(failure.kind, failure);
  }

  private finish(outcome: string, failure?: Failure): void {
    this.isOver = true;
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.silenceTimer);
    const {parts, request, service} = this;
    parts.metrics.requests.inc({service, outcome});
    const nowMs = this.nowMs();
    parts.log.info('request_over', {
      requestId: request.facts.id,
      route: this.route.name,
      service,
      account: this.passage.account?.name,
      version: this.passage.rules.configuration.version,
      outcome,
      status: this.head?.status,
      ran: failure?.ran,
      retryAfterMs: failure?.retryAfterMs,
      reason: failure?.message,
      attempts: this.life.attempts,
      events: this.cursor.count,
      promptTokens: request.facts.promptTokens,
      firstMs:
        this.firstEventMs > 0
          ? Math.round(this.firstEventMs - request.receivedAtMs)
          : undefined,
      tookMs: Math.round(nowMs - request.receivedAtMs),
    });
    this.onOver();
  }

  private logAttempt(end: AttemptEnd, status: number, detail: string): void {
    const {parts, choice, request, service} = this;
    parts.metrics.attempts.inc({service, end});
    if (end === AttemptEnd.ANSWERED && status < SERVER_ERROR_STATUS) return;
    parts.log.warn('attempt_failed', {
      requestId: request.facts.id,
      upstream: choice?.upstream.id,
      end,
      status,
      detail,
      revision: parts.ledger.revision,
      tookMs: Math.round(this.nowMs() - this.attemptSentMs),
    });
  }

  private isStreaming(): boolean {
    return (
      this.route.kind === RequestKind.STREAM && this.head?.status === OK_STATUS
    );
  }

  private rank(): number {
    const {route, passage} = this;
    return Math.min(HIGHEST_RANK, passage.account?.priority ?? route.priority);
  }

  private leftMs(): number {
    return this.deadlineMs - this.nowMs();
  }

  private nowMs(): number {
    return this.parts.clock.nowMs();
  }
}

/** Draws the service of a request by the weights of its route. */
function drawService(route: Route, draw: number): string {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = draw * total;
  for (const {service, weight} of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets[0]?.service ?? '';
}
