import {
  PassModel,
  PrefillPlanner,
  type EngineForecast,
  type PromptDemand,
} from '@parsleywood/dispatch';
import type {Service} from '@parsleywood/forwarding';
import type {
  ConsideredUpstream,
  EngineExplanation,
} from '@parsleywood/schema/explanation';
import type {ConsideredUpstreams} from '../attempts/considered_upstreams.js';
import {findHindrance} from './find_hindrance.js';
import type {StillContext} from './still_context.js';

const PERCENT = 100;

/**
 * Describes the upstreams of a service, candidates first.
 *
 * @param forecasts Load of each engine, in the same order; empty for a plain service.
 */
export function describeConsidered(
  {candidates, excluded}: ConsideredUpstreams,
  forecasts: readonly EngineForecast[],
  service: Service | undefined,
  demand: PromptDemand,
  context: StillContext,
  nowMs: number,
): ConsideredUpstream[] {
  const {placements, rests, limits, pace} = context;
  const profile = service?.engine;
  const perSecondById = new Map(
    limits.list().map(({upstream, perSecond}) => [upstream, perSecond]),
  );
  const planner = profile && new PrefillPlanner(new PassModel(profile));
  const entries = [
    ...candidates.map(entry => ({entry, reason: undefined})),
    ...excluded,
  ];
  return entries.map(({entry, reason: listed}, index) => {
    const {id, address, failureDomain} = entry;
    const forecast = forecasts[index];
    const reason =
      listed ?? findHindrance(entry, service, forecast, demand, context, nowMs);
    const restMs = Math.ceil(rests.getLeftMs(id, nowMs));
    // Fields that are undefined are absent in the answer.
    return {
      id,
      address,
      failureDomain,
      isCandidate: reason === undefined,
      exclusion: reason,
      requests:
        forecast?.usedSlots ??
        placements.getUpstreamPlacements(id, nowMs).records.length,
      slots: profile?.slots ?? entry.slots,
      restMs: restMs > 0 ? restMs : undefined,
      perSecond: perSecondById.get(id),
      paceWindow: pace.getWindow(id),
      engine:
        profile &&
        planner &&
        forecast &&
        describeEngine(forecast, planner, demand, profile.memoryTokens),
    };
  });
}

function describeEngine(
  forecast: EngineForecast,
  planner: PrefillPlanner,
  demand: PromptDemand,
  memoryTokens: number,
): EngineExplanation {
  const {expectedMs, lossTokens} = planner.estimateAlone(demand, forecast);
  return {
    backlogMs: Math.round(forecast.backlogMs),
    usedMemoryTokens: Math.round(forecast.usedMemoryTokens),
    memoryTokens,
    slowdownFactor: Math.round(forecast.slowdownFactor * PERCENT) / PERCENT,
    aloneMs: Math.round(expectedMs),
    lossTokens: Math.round(lossTokens),
  };
}
