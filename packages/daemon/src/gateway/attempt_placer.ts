import {
  canEverHold,
  PassMeter,
  type PromptDemand,
  type Shortage,
  type UpstreamChoice,
} from '@parsleywood/dispatch';
import {
  AttemptEnd,
  attemptPatience,
  type RouteMatch,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {canConnect} from './can_connect.js';
import type {GatewayParts} from './gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import type {ReceivedRequest} from './received_request.js';

const SERVER_ERROR_STATUS = 500;
const MISDIRECTED_STATUS = 421;
/** Longest answer believed, in mean answers: estimates are often far off. */
const MAX_ANSWER_MEANS = 10;

/** Chooses the upstreams of one request, and keeps all hosts' books on it. */
export class UpstreamDesk {
  private readonly tried = new Set<string>();
  private open: PlacedAttempt | undefined;
  private isWriting = false;
  private meter = new PassMeter();

  /**
   * @param service Name of the service that the request goes to.
   * @param deadlineMs Monotonic time at which the request ends.
   */
  constructor(
    private readonly parts: GatewayParts,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    readonly service: string,
    private readonly deadlineMs: number,
  ) {}

  /** Whether any upstream of the service may get work. */
  get hasUpstreams(): boolean {
    return this.usable().length > 0;
  }

  /** Whether the prompt is longer than all engines together can hold. */
  get isTooLong(): boolean {
    const engine = this.match.rules.service(this.service)?.engine;
    const {promptTokens} = this.request.facts;
    return engine !== undefined && !canEverHold(engine, promptTokens);
  }

  /** Whether an upstream is left that did not have the request yet. */
  get hasOther(): boolean {
    const current = this.open?.choice.upstream.id;
    return this.usable().some(({id}) => id !== current && !this.tried.has(id));
  }

  /** Whether another upstream would take the request now. */
  get hasRoomElsewhere(): boolean {
    const nowMs = this.parts.clock.nowMs();
    const service = this.match.rules.service(this.service);
    const demand = this.describeDemand(service, nowMs);
    return 'upstream' in this.choose(service, demand, nowMs);
  }

  /** The attempt that is not over. */
  get current(): PlacedAttempt | undefined {
    return this.open;
  }

  /** Chooses and books an attempt, or tells when there is room for it. */
  place(attempt: number): PlacedAttempt | Shortage {
    const {parts, request} = this;
    const nowMs = parts.clock.nowMs();
    const service = this.match.rules.service(this.service);
    const demand = this.describeDemand(service, nowMs);
    const choice = this.choose(service, demand, nowMs);
    if (!('upstream' in choice)) return choice;
    const {upstream, plan} = choice;
    const {pauseObjectiveMs} = this.match.route;
    const placement = {
      id: `${request.facts.id}/${attempt}`,
      host: '',
      upstream: upstream.id,
      promptTokens: demand.promptTokens,
      answerTokens: demand.answerTokens,
      objectiveMs: demand.objectiveMs,
      pauseObjectiveMs: pauseObjectiveMs ?? Infinity,
      parts: plan?.parts ?? [
        {
          upstream: upstream.id,
          tokens: 0,
          millionPairs: 0,
          heldTokens: 0,
          passMs: 0,
        },
      ],
    };
    parts.book.add(placement, nowMs);
    parts.fleet.tellStart(placement);
    this.tried.add(upstream.id);
    this.isWriting = false;
    this.open = {choice, placement, sentAtMs: nowMs};
    return this.open;
  }

  /** Events of the attempt came. */
  noteEvents(): void {
    const {open, parts} = this;
    if (open === undefined) return;
    const nowMs = parts.clock.nowMs();
    const {choice, placement} = open;
    if (!this.isWriting) {
      this.isWriting = true;
      this.meter = new PassMeter();
      parts.book.startWriting(placement.id, nowMs);
      parts.fleet.tellWriting(placement.id);
    }
    const passMs = this.meter.takeEvent(nowMs);
    const service = this.match.rules.service(this.service);
    if (passMs === undefined || service?.engine === undefined) return;
    const {stepMs, stepsPerPass} = service.engine;
    const ratio = passMs / (stepMs * stepsPerPass);
    parts.health.takePace(choice.upstream.id, ratio);
  }

  /** The attempt is over: its room is free again. */
  end(): void {
    const {open, parts} = this;
    if (open === undefined) return;
    this.open = undefined;
    parts.book.end(open.placement.id);
    parts.fleet.tellEnd(open.placement.id);
  }

  /**
   * Takes what the end of an attempt says of its upstream.
   *
   * @param faultyAddress IP:port at fault, where the answer names it.
   */
  judge(end: AttemptEnd, status: number, faultyAddress: string): void {
    const {open, parts} = this;
    if (open === undefined) return;
    const {upstream, helpers} = open.choice;
    const faulty = helpers.find(({address}) => address === faultyAddress);
    if (faulty !== undefined) {
      // The upstream itself is sound and may have the request again.
      this.tried.delete(upstream.id);
      this.blame(faulty, true, end, status);
    } else if (status === MISDIRECTED_STATUS) {
      parts.ledger.upstreams.forget(upstream.id);
    } else if (end === AttemptEnd.ANSWERED && status < SERVER_ERROR_STATUS) {
      parts.health.takeSuccess(upstream.id);
    } else if (end !== AttemptEnd.REFUSED) {
      const isSilent = end === AttemptEnd.SILENT;
      if (isSilent) parts.connections.distrust(upstream.id);
      this.blame(
        upstream,
        isSilent || end === AttemptEnd.NOT_SENT,
        end,
        status,
      );
      if (isSilent) for (const one of helpers) this.blame(one, false, end, 0);
    }
  }

  /** Upstreams of the open attempt that take no connections. */
  async findUnreached(): Promise<UpstreamEntry[]> {
    if (this.open === undefined) return [];
    const {upstream, helpers} = this.open.choice;
    const engines = [upstream, ...helpers];
    const reached = await Promise.all(
      engines.map(({address}) => canConnect(address)),
    );
    return engines.filter((_engine, at) => !reached[at]);
  }

  /** Holds a failure against an upstream, here and at the other hosts. */
  blame(
    {id}: UpstreamEntry,
    isSilent: boolean,
    end: AttemptEnd,
    status: number,
  ): void {
    const {health, clock, fleet, log} = this.parts;
    if (!health.takeFailure(id, isSilent, clock.nowMs())) return;
    fleet.tellFailure(id, isSilent);
    log.warn('upstream_avoided', {upstream: id, end, status});
  }

  private choose(
    service: Service | undefined,
    demand: PromptDemand,
    nowMs: number,
  ): UpstreamChoice | Shortage {
    const {chooser, draw} = this.parts;
    const candidates = chooser.candidates(this.usable(), this.tried, nowMs);
    if (service?.engine === undefined) {
      return chooser.chooseService(candidates, draw(), nowMs);
    }
    return chooser.chooseEngines(candidates, service, demand, nowMs);
  }

  private describeDemand(
    service: Service | undefined,
    nowMs: number,
  ): PromptDemand {
    const {facts, receivedAtMs} = this.request;
    const {route} = this.match;
    const waitedMs = nowMs - receivedAtMs;
    const mean = service?.engine?.meanAnswerTokens ?? 0;
    const most = facts.maxAnswerTokens || Infinity;
    return {
      promptTokens: facts.promptTokens,
      answerTokens: Math.min(
        facts.answerEstimate || mean,
        most,
        MAX_ANSWER_MEANS * mean,
      ),
      objectiveMs: route.latencyObjectiveMs - waitedMs,
      patienceMs: Math.min(
        attemptPatience.ofCaller(route) - waitedMs,
        this.deadlineMs - nowMs,
      ),
    };
  }

  private usable(): UpstreamEntry[] {
    const {ledger, clock} = this.parts;
    return ledger.upstreams.usable(this.service, clock.nowMs());
  }
}
