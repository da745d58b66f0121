import type {RouteMatch, UpstreamEntry} from '@parsleywood/forwarding';
import type {ConsideredUpstreams} from '../attempts/considered_upstreams.js';
import {findExclusion} from '../attempts/find_exclusion.js';
import type {GatewayContext} from '../gateway_context.js';

/** Adds to the candidates of a new request why the service's other upstreams are none. */
export function listConsidered(
  candidates: readonly UpstreamEntry[],
  service: string,
  match: RouteMatch,
  context: GatewayContext,
  nowMs: number,
): ConsideredUpstreams {
  const ids = new Set(candidates.map(({id}) => id));
  const excluded = context.replica.upstreams
    .listInUse(nowMs)
    .filter(entry => entry.service === service && !ids.has(entry.id))
    .map(entry => ({
      entry,
      reason: findExclusion(entry, match, context, nowMs),
    }));
  return {candidates, excluded};
}
