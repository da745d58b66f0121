import {ColdUse} from '@parsleywood/dispatch';
import {
  UpstreamExclusion,
  type RouteMatch,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';

const COLD_EXCLUSIONS: Readonly<Record<ColdUse, UpstreamExclusion>> = {
  [ColdUse.OWNED]: UpstreamExclusion.COLD_OVER_RATE,
  [ColdUse.LEFT_TO_OTHERS]: UpstreamExclusion.COLD_LEFT_TO_OTHERS,
  [ColdUse.SETTLING]: UpstreamExclusion.COLD_SETTLING,
};

/** Returns why an upstream that is no candidate is none: the first reason that applies. */
export function findExclusion(
  entry: UpstreamEntry,
  match: RouteMatch,
  {
    replica,
    homeRegions,
    rests,
    limits,
    coldRates,
    health,
  }: Pick<
    GatewayContext,
    'replica' | 'homeRegions' | 'rests' | 'limits' | 'coldRates' | 'health'
  >,
  nowMs: number,
): UpstreamExclusion {
  const {id, failureDomain} = entry;
  const unusable = replica.upstreams.findExclusion(entry, nowMs);
  if (unusable !== undefined) return unusable;
  if (!homeRegions.mayRun(match, failureDomain)) {
    return UpstreamExclusion.HOME_REGIONS;
  }
  if (replica.evacuations.getShare(failureDomain, nowMs) === 0) {
    return UpstreamExclusion.EVACUATED;
  }
  if (rests.isResting(id, nowMs)) return UpstreamExclusion.RESTING;
  if (!limits.mayTake(id, nowMs)) return UpstreamExclusion.OVER_LIMIT;
  const barred = coldRates.findBar(id, nowMs);
  if (barred !== undefined) return COLD_EXCLUSIONS[barred];
  if (health.isAvoided(id, nowMs)) return UpstreamExclusion.AVOIDED;
  return UpstreamExclusion.OTHER;
}
