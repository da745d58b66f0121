import type {CapacityShortage} from '@parsleywood/dispatch';
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
    const {limits, coldRates, rests, countHosts, metrics} = this.context;
    const reason = this.eligible.findExclusion();
    if (reason !== undefined) {
      metrics.excludedRequests.inc({service: this.service, reason});
      return shortage;
    }
    const restMs = this.planAfterRestMs();
    if (restMs > 0) return {waitMs: restMs};
    const awake = this.eligible
      .list()
      .filter(({id}) => !tried.has(id) && !rests.isResting(id, nowMs));
    const free = awake.filter(({id}) => limits.mayTake(id, nowMs));
    if (free.length > 0) {
      const coldMs = coldRates.planReturnMs(free, nowMs);
      return coldMs > 0 ? {waitMs: coldMs} : shortage;
    }
    if (awake.length === 0) return shortage;
    const ids = awake.map(({id}) => id);
    return {waitMs: limits.planReturnMs(ids, countHosts(), nowMs)};
  }
}
