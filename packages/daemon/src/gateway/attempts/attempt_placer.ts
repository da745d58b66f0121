import {
  canFitPrompt,
  PassMeter,
  toKeptRate,
  type CapacityShortage,
  type PromptDemand,
} from '@parsleywood/dispatch';
import {
  AttemptOutcome,
  type RouteMatch,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {mayBeFault} from './may_be_fault.js';
import {canConnect} from '../upstreams/can_connect.js';
import {forwardsHeader} from '../upstreams/forwards_header.js';
import {AttemptChooser} from './attempt_chooser.js';
import {describeDemand} from './describe_demand.js';
import {EligibleUpstreams} from './eligible_upstreams.js';
import type {ExclusionReason} from './exclusion_reason.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import type {ReceivedRequest} from '../callers/received_request.js';
import {ReturnPlanner} from './return_planner.js';
import {recordChoiceWithoutView} from './record_choice_without_view.js';
import type {SuspendedPlacement} from './suspended_placement.js';

const SERVER_ERROR_STATUS = 500;
const MISDIRECTED_STATUS = 421;

/**
 * Places the attempts of one request, publishes them to the other hosts, and
 * reports upstream failures.
 */
export class AttemptPlacer {
  private readonly triedUpstreams = new Set<string>();
  private placed: PlacedAttempt | undefined;
  private isDecoding = false;
  /** Monotonic time of the last event of any attempt. */
  private lastEventAtMs: number | undefined;
  private passMeter = new PassMeter();
  private readonly eligible: EligibleUpstreams;
  private readonly returns: ReturnPlanner;
  private readonly chooser: AttemptChooser;

  /**
   * @param service Name of the service that the request goes to.
   * @param deadlineMs Monotonic deadline of the request.
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    readonly service: string,
    private readonly deadlineMs: number,
  ) {
    this.eligible = new EligibleUpstreams(context, match, service);
    this.returns = new ReturnPlanner(context, this.eligible, service);
    this.chooser = new AttemptChooser(context, this.eligible);
  }

  /** Whether any upstream of the service accepts new requests. */
  get hasUpstreams(): boolean {
    return this.eligible.list().length > 0;
  }

  /** Why the request may use no upstream, if others may. */
  get exclusion(): ExclusionReason | undefined {
    return this.eligible.findExclusion();
  }

  /** Whether an attempt must not be sent, as one of its upstreams was evacuated. */
  isEvacuated({choice: {upstream, helpers}}: PlacedAttempt): boolean {
    return this.eligible.isAnyEvacuated([upstream, ...helpers]);
  }

  /**
   * Whether the prompt exceeds the memory of the largest possible set of
   * engines.
   */
  get isPromptTooLong(): boolean {
    const engine = this.match.rules.findService(this.service)?.engine;
    const {promptTokens} = this.request.metadata;
    return engine !== undefined && !canFitPrompt(engine, promptTokens);
  }

  /** Whether an upstream remains to which the request has not been sent. */
  get hasUntriedUpstream(): boolean {
    const currentId = this.placed?.choice.upstream.id;
    const {rests, clock} = this.context;
    const nowMs = clock.nowMs();
    return this.eligible
      .list()
      .some(
        ({id}) =>
          id !== currentId &&
          !this.triedUpstreams.has(id) &&
          !rests.isResting(id, nowMs),
      );
  }

  /** Whether another upstream has capacity for the request now. */
  get hasCapacityElsewhere(): boolean {
    const nowMs = this.context.clock.nowMs();
    const service = this.match.rules.findService(this.service);
    const demand = this.describeDemand(service, nowMs);
    const {chooser, triedUpstreams} = this;
    const choice = chooser.choose(service, demand, triedUpstreams, nowMs, '');
    return 'upstream' in choice;
  }

  /** Whether no other suspect has met the attempt in progress on an upstream. */
  get isIsolated(): boolean {
    const id = this.placed?.placement.id ?? '';
    return this.context.placements.isIsolated(id);
  }

  /** Whether nothing else has met the attempt in progress on an upstream. */
  get isAlone(): boolean {
    const id = this.placed?.placement.id ?? '';
    return this.context.placements.isAlone(id);
  }

  /** Whether events of the attempt in progress have arrived. */
  get hasReceivedEvents(): boolean {
    return this.isDecoding;
  }

  /** The attempt in progress. */
  get currentAttempt(): PlacedAttempt | undefined {
    return this.placed;
  }

  /**
   * Chooses upstreams for an attempt and records its placement, or reports when
   * capacity is expected.
   *
   * @param suspect Fingerprint of a request suspected of crashing upstreams;
   *     empty if it is not.
   */
  place(attempt: number, suspect: string): PlacedAttempt | CapacityShortage {
    const {context, request} = this;
    const nowMs = context.clock.nowMs();
    const service = this.match.rules.findService(this.service);
    const demand = this.describeDemand(service, nowMs);
    const choice = this.chooser.choose(
      service,
      demand,
      this.triedUpstreams,
      nowMs,
      suspect,
    );
    const chosen = 'upstream' in choice ? choice.upstream.id : undefined;
    const {id} = request.metadata;
    recordChoiceWithoutView(context, service, id, chosen, nowMs);
    if ('isPaced' in choice) {
      context.metrics.pacedRefusals.inc({service: this.service});
    }
    if (!('upstream' in choice)) {
      return this.returns.plan(choice, this.triedUpstreams, nowMs);
    }
    const {upstream, plan} = choice;
    const {pauseObjectiveMs} = this.match.route;
    const placement = {
      id: `${request.metadata.id}/${attempt}`,
      host: '',
      upstream: upstream.id,
      promptTokens: demand.promptTokens,
      answerTokens: demand.answerTokens,
      objectiveMs: demand.objectiveMs,
      pauseObjectiveMs: pauseObjectiveMs ?? Infinity,
      suspect,
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
    context.pacing.recordStart(placement, nowMs);
    context.placements.add(placement, nowMs);
    context.limits.recordPlacement(placement, nowMs);
    context.coldRates.recordPlacement(upstream, nowMs);
    context.publisher.publishStart(placement);
    this.triedUpstreams.add(upstream.id);
    this.isDecoding = false;
    this.placed = {choice, placement, placedAtMs: nowMs};
    return this.placed;
  }

  /** Updates placement and measured decode speed after events of the attempt. */
  recordEvents(): void {
    const {placed, context} = this;
    if (placed === undefined) return;
    const nowMs = context.clock.nowMs();
    const {choice, placement} = placed;
    context.reach.recordAnswer();
    this.lastEventAtMs = nowMs;
    if (!this.isDecoding) {
      this.isDecoding = true;
      this.passMeter = new PassMeter();
      context.placements.startDecode(placement.id, nowMs);
      context.pacing.pace.recordFirstEvent(placement.id, nowMs);
      context.publisher.publishDecodeStart(placement.id);
    }
    const passMs = this.passMeter.recordEvent(nowMs);
    const service = this.match.rules.findService(this.service);
    if (passMs === undefined || service?.engine === undefined) return;
    const {stepMs, stepsPerPass} = service.engine;
    const ratio = passMs / (stepMs * stepsPerPass);
    context.health.recordPassTimeRatio(choice.upstream.id, ratio);
    context.pacing.pace.recordPassTimeRatio(choice.upstream.id, ratio);
  }

  /** Whether the attempt may be sent now, which was placed some time ago. */
  confirmSend({choice, placedAtMs}: PlacedAttempt): boolean {
    return this.context.coldRates.confirmSend(choice.upstream, placedAtMs);
  }

  /** Ends an attempt that was not sent; its upstream counts as untried. */
  withdraw(): void {
    const id = this.placed?.choice.upstream.id ?? '';
    this.triedUpstreams.delete(id);
    this.endAttempt();
  }

  /** Ends the attempt in progress and frees its capacity. */
  endAttempt(): void {
    const {placed} = this;
    if (placed === undefined) return;
    this.placed = undefined;
    this.free(placed);
  }

  /** Sets the attempt in progress aside; it keeps its capacity. */
  suspend(): SuspendedPlacement | undefined {
    const {placed, isDecoding} = this;
    this.placed = undefined;
    return placed && {placed, isDecoding};
  }

  /** Goes on with an attempt that was set aside. */
  resume({placed, isDecoding}: SuspendedPlacement): void {
    this.placed = placed;
    this.isDecoding = isDecoding;
    this.passMeter = new PassMeter();
  }

  /** Frees the capacity of an attempt that was set aside. */
  discard({placed}: SuspendedPlacement): void {
    this.free(placed);
  }

  /**
   * Updates the health of the upstreams from the outcome of an attempt.
   *
   * @param faultyAddress IP:port of the upstream that caused a failure; empty
   *     when the response names none.
   * @param asksForRest Whether the response asks for no more requests for a while,
   *     which is no failure.
   */
  recordOutcome(
    outcome: AttemptOutcome,
    status: number,
    faultyAddress: string,
    asksForRest: boolean,
  ): void {
    const {placed, context} = this;
    if (placed === undefined) return;
    const {upstream, helpers} = placed.choice;
    if (outcome !== AttemptOutcome.ANSWERED || status >= SERVER_ERROR_STATUS) {
      const {pacing, clock} = context;
      pacing.pace.recordEnd(placed.placement.id, true, clock.nowMs());
    }
    const faultyHelper = helpers.find(({address}) => address === faultyAddress);
    if (faultyHelper !== undefined) {
      // The upstream itself is healthy and may receive the request again.
      this.triedUpstreams.delete(upstream.id);
      this.penalize(faultyHelper, true, outcome, status);
    } else if (status === MISDIRECTED_STATUS) {
      // The caller may expect what no upstream, or another one, is.
      const {headerNames, replica, clock} = context;
      const expectation = headerNames.callersExpectation;
      if (forwardsHeader(this.request.headers, expectation)) return;
      replica.upstreams.evict(upstream.id, clock.nowMs());
    } else if (
      outcome === AttemptOutcome.ANSWERED &&
      status < SERVER_ERROR_STATUS
    ) {
      context.health.recordSuccess(upstream.id);
      context.reach.recordAnswer();
    } else if (mayBeFault(outcome) && !asksForRest) {
      const isSilent = outcome === AttemptOutcome.TIMED_OUT;
      if (isSilent) context.connectionPool.closeIdle(upstream.id);
      this.penalize(
        upstream,
        isSilent || outcome === AttemptOutcome.NOT_SENT,
        outcome,
        status,
      );
      if (isSilent) {
        for (const it of helpers) this.penalize(it, false, outcome, 0);
      }
    }
  }

  /** Lists the attempt's upstreams that accept no connections. */
  async findUnreachable(): Promise<UpstreamEntry[]> {
    if (this.placed === undefined) return [];
    const {upstream, helpers} = this.placed.choice;
    const engines = [upstream, ...helpers];
    const isReachable = await Promise.all(
      engines.map(({address}) => canConnect(address)),
    );
    return engines.filter((_engine, index) => !isReachable[index]);
  }

  /** Applies the limit that a response to the current attempt names, or that it names none. */
  recordLimit(named: number | undefined): void {
    const {placed, context} = this;
    if (placed === undefined) return;
    const {limits, clock, publisher, log} = context;
    const {choice, placedAtMs} = placed;
    const {id} = choice.upstream;
    const nowMs = clock.nowMs();
    const perSecond = named === undefined ? undefined : toKeptRate(named);
    const hasChanged = limits.update(id, perSecond, placedAtMs, nowMs);
    if (hasChanged) {
      log.info('upstream_limit', {upstream: id, named, perSecond});
    }
    // Hosts that have started since learn of the limit as well.
    if (!hasChanged && perSecond === undefined) return;
    publisher.publishLimit(id, perSecond, nowMs - placedAtMs);
  }

  /** Time until the first upstream is back, if all of them rest; else 0. */
  planReturnAfterRestMs(): number {
    return this.returns.planAfterRestMs();
  }

  /** The same, or until a cold upstream may be sent to if no other is left. */
  planReturnAfterFailureMs(): number {
    return this.returns.planAfterFailureMs(this.triedUpstreams);
  }

  /** Records a failure of an upstream, here and at the other hosts. */
  penalize(
    {id}: UpstreamEntry,
    isSilent: boolean,
    outcome: AttemptOutcome,
    status: number,
  ): void {
    const {health, clock, log, pacing} = this.context;
    pacing.pace.recordFailure(id);
    if (!health.recordFailure(id, isSilent, clock.nowMs())) return;
    log.warn('upstream_avoided', {upstream: id, end: outcome, status});
    void this.publishFailure(id, isSilent);
  }

  /** Tells the others of a failure, unless this host reaches no upstream at all. */
  private async publishFailure(id: string, isSilent: boolean): Promise<void> {
    const {reach, publisher} = this.context;
    if (isSilent && !(await reach.testReach())) return;
    publisher.publishFailure(id, isSilent);
  }

  private free({placement}: PlacedAttempt): void {
    const {placements, publisher, pacing, clock} = this.context;
    placements.end(placement.id);
    pacing.pace.recordEnd(placement.id, false, clock.nowMs());
    publisher.publishEnd(placement.id);
  }

  private describeDemand(
    service: Service | undefined,
    nowMs: number,
  ): PromptDemand {
    const {match, request, deadlineMs, lastEventAtMs} = this;
    return describeDemand(
      match,
      service,
      request,
      deadlineMs,
      lastEventAtMs,
      nowMs,
    );
  }
}
