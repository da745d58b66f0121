import {UpstreamExclusion, type UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';

/** Returns why an upstream that is no candidate is none: the first reason that applies. */
export function findExclusion(
  entry: UpstreamEntry,
  {
    replica,
    rests,
    limits,
    health,
  }: Pick<GatewayContext, 'replica' | 'rests' | 'limits' | 'health'>,
  nowMs: number,
): UpstreamExclusion {
  const {id} = entry;
  const unusable = replica.upstreams.findExclusion(entry, nowMs);
  if (unusable !== undefined) return unusable;
  if (rests.isResting(id, nowMs)) return UpstreamExclusion.RESTING;
  if (!limits.mayTake(id, nowMs)) return UpstreamExclusion.OVER_LIMIT;
  if (health.isAvoided(id, nowMs)) return UpstreamExclusion.AVOIDED;
  return UpstreamExclusion.OTHER;
}
