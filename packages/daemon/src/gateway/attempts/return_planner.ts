import type {CapacityShortage} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import type {EligibleUpstreams} from './eligible_upstreams.js';

/** Plans when the caller of a request comes again that found no upstream. */
export class ReturnPlanner {
  /** @param service Name of the service that the request goes to. */
  constructor(
    private readonly context: GatewayContext,
    private readonly eligible: EligibleUpstreams,
    private readonly service: string,
  ) {}

  /** Time until the first upstream is back, if all of them rest; else 0. */
  planAfterRestMs(): number {
    const {rests, clock} = this.context;
    const ids = this.eligible.list().map(({id}) => id);
    return rests.planReturnMs(ids, clock.nowMs());
  }

  /**
   * The same, or until a cold upstream may be sent to if no other is left.
   *
   * @param tried Ids of upstreams that already had the request.
   */
  planAfterFailureMs(tried: ReadonlySet<string>): number {
    const restMs = this.planAfterRestMs();
    if (restMs > 0) return restMs;
    const {coldRates, clock} = this.context;
    const nowMs = clock.nowMs();
    return coldRates.planReturnMs(this.listUntried(tried, nowMs), nowMs);
  }

  /**
   * Asks the caller to come again when an upstream's limit, cold rate or rest allows
   * it.
   *
   * @param tried Ids of upstreams that already had the request.
   */
  plan(
    shortage: CapacityShortage,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): CapacityShortage {
    const {coldRates, metrics} = this.context;
    const reason = this.eligible.findExclusion();
    if (reason !== undefined) {
      metrics.excludedRequests.inc({service: this.service, reason});
      return shortage;
    }
    return this.planAmong(shortage, tried, nowMs, entries =>
      coldRates.planReturnMs(entries, nowMs),
    );
  }

  /** Returns the same for a new request that is not sent; nothing is counted. */
  preview(shortage: CapacityShortage, nowMs: number): CapacityShortage {
    if (this.eligible.findExclusion() !== undefined) return shortage;
    const {coldRates} = this.context;
    return this.planAmong(shortage, new Set(), nowMs, entries =>
      coldRates.previewReturnMs(entries, nowMs),
    );
  }

  /** @param planColdMs Returns when one of several cold upstreams may be sent to. */
  private planAmong(
    shortage: CapacityShortage,
    tried: ReadonlySet<string>,
    nowMs: number,
    planColdMs: (entries: readonly UpstreamEntry[]) => number,
  ): CapacityShortage {
    const {limits, countHosts} = this.context;
    const restMs = this.planAfterRestMs();
    if (restMs > 0) return {waitMs: restMs};
    const awake = this.listUntried(tried, nowMs);
    const free = awake.filter(({id}) => limits.mayTake(id, nowMs));
    if (free.length > 0) {
      const coldMs = planColdMs(free);
      return coldMs > 0 ? {waitMs: coldMs} : shortage;
    }
    if (awake.length === 0) return shortage;
    const ids = awake.map(({id}) => id);
    return {waitMs: limits.planReturnMs(ids, countHosts(), nowMs)};
  }

  private listUntried(
    tried: ReadonlySet<string>,
    nowMs: number,
  ): UpstreamEntry[] {
    const {rests} = this.context;
    return this.eligible
      .list()
      .filter(({id}) => !tried.has(id) && !rests.isResting(id, nowMs));
  }
}
