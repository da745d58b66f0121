import type {
  CapacityShortage,
  EngineForecast,
  PromptDemand,
  UpstreamChoice,
} from '@parsleywood/dispatch';
import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import type {EligibleUpstreams} from './eligible_upstreams.js';

/** Chooses the upstreams of a request's attempts; it places nothing. */
export class AttemptChooser {
  constructor(
    private readonly context: GatewayContext,
    private readonly eligible: EligibleUpstreams,
  ) {}

  /**
   * Lists the upstreams that may be sent an attempt now.
   *
   * @param tried Ids of upstreams that already had the request.
   */
  listCandidates(tried: ReadonlySet<string>, nowMs: number): UpstreamEntry[] {
    const {chooser, limits, coldRates, rests} = this.context;
    const free = this.eligible
      .list()
      .filter(
        ({id}) => limits.mayTake(id, nowMs) && !rests.isResting(id, nowMs),
      );
    // A limited, cold or resting upstream must not hide those that are avoided.
    return chooser.listCandidates(coldRates.filter(free, nowMs), tried, nowMs);
  }

  /**
   * Chooses for an attempt that is to be placed.
   *
   * @param suspect Fingerprint of a request suspected of crashing upstreams;
   *     empty if it is not.
   */
  choose(
    service: Service | undefined,
    demand: PromptDemand,
    tried: ReadonlySet<string>,
    nowMs: number,
    suspect: string,
  ): UpstreamChoice | CapacityShortage {
    const {pacing, placements} = this.context;
    pacing.advance(nowMs);
    const candidates = this.listCandidates(tried, nowMs);
    if (suspect !== '') {
      const isolated = candidates.filter(
        ({id}) => !placements.hasSuspect(id, suspect, nowMs),
      );
      // A crash of one that ran alone has no other explanation.
      const idle = isolated.filter(({id}) => placements.isIdle(id, nowMs));
      for (const upstreams of [idle, isolated]) {
        const choice = this.chooseAmong(upstreams, service, demand, nowMs);
        if ('upstream' in choice) return choice;
      }
    }
    return this.chooseAmong(candidates, service, demand, nowMs);
  }

  /** @param forecasts Load of the candidates, if it is known already. */
  chooseAmong(
    candidates: readonly UpstreamEntry[],
    service: Service | undefined,
    demand: PromptDemand,
    nowMs: number,
    forecasts?: readonly EngineForecast[],
  ): UpstreamChoice | CapacityShortage {
    const {chooser, draw} = this.context;
    if (service?.engine === undefined) {
      return chooser.chooseServiceUpstream(candidates, draw(), nowMs);
    }
    return chooser.chooseEngines(candidates, service, demand, nowMs, forecasts);
  }
}
