import {
  PassModel,
  PrefillPlanner,
  type EngineForecast,
  type PromptDemand,
} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {
  ConsideredUpstream,
  EngineExplanation,
} from '@parsleywood/schema/explanation';
import type {PlacementPreview} from '../attempts/placement_preview.js';
import type {GatewayContext} from '../gateway_context.js';

const PERCENT = 100;

/** Describes the upstreams that a placement considered, candidates first. */
export function describeConsidered(
  {service, demand, candidates, excluded}: PlacementPreview,
  {chooser, placements, rests, limits}: GatewayContext,
  nowMs: number,
): ConsideredUpstream[] {
  const exclusions = new Map(
    excluded.map(({upstream, exclusion}) => [upstream.id, exclusion]),
  );
  const perSecondById = new Map(
    limits.list().map(({upstream, perSecond}) => [upstream, perSecond]),
  );
  const entries = [...candidates, ...excluded.map(({upstream}) => upstream)];
  const describe = (entry: UpstreamEntry): ConsideredUpstream => {
    const {id, address, failureDomain, slots} = entry;
    const exclusion = exclusions.get(id);
    const restMs = rests.getLeftMs(id, nowMs);
    const perSecond = perSecondById.get(id);
    return {
      id,
      address,
      failureDomain,
      isCandidate: exclusion === undefined,
      ...(exclusion !== undefined && {exclusion}),
      requests: 0,
      slots,
      ...(restMs > 0 && {restMs: Math.ceil(restMs)}),
      ...(perSecond !== undefined && {perSecond}),
    };
  };
  if (service?.engine === undefined) {
    return entries.map(entry => ({
      ...describe(entry),
      requests: placements.getUpstreamPlacements(entry.id, nowMs).records
        .length,
    }));
  }
  const model = new PassModel(service.engine);
  const planner = new PrefillPlanner(model);
  const forecasts = chooser.forecastEngines(entries, model, nowMs);
  return entries.flatMap((entry, index) => {
    const forecast = forecasts[index];
    if (forecast === undefined) return [];
    return {
      ...describe(entry),
      requests: forecast.usedSlots,
      slots: model.profile.slots,
      engine: describeEngine(forecast, model, planner, demand),
    };
  });
}

function describeEngine(
  forecast: EngineForecast,
  {profile}: PassModel,
  planner: PrefillPlanner,
  demand: PromptDemand,
): EngineExplanation {
  const {backlogMs, usedMemoryTokens, slowdownFactor} = forecast;
  const {expectedMs, lossTokens} = planner.estimateAlone(demand, forecast);
  return {
    backlogMs: Math.round(backlogMs),
    usedMemoryTokens: Math.round(usedMemoryTokens),
    memoryTokens: profile.memoryTokens,
    slowdownFactor: Math.round(slowdownFactor * PERCENT) / PERCENT,
    aloneMs: Math.round(expectedMs),
    lossTokens: Math.round(lossTokens),
  };
}
