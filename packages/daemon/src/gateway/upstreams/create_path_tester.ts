import type {SiteReplica, UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {PathTester} from './path_tester.js';

/**
 * Creates the tester of a host's paths, which tests other upstreams first than those
 * that failed of late, rest, name a limit or are cold.
 *
 * @param getContext Returns what decides which upstreams these are.
 */
export function createPathTester(
  replica: SiteReplica,
  metrics: GatewayMetrics,
  getContext: () => GatewayContext,
  draw: () => number,
): PathTester {
  const isSpared = ({id, coldRemainingMs = 0}: UpstreamEntry): boolean => {
    const {health, limits, rests, clock} = getContext();
    const nowMs = clock.nowMs();
    const isLimited = limits.list().some(({upstream}) => upstream === id);
    return (
      isLimited ||
      coldRemainingMs > 0 ||
      health.isAvoided(id, nowMs) ||
      rests.isResting(id, nowMs)
    );
  };
  return new PathTester(replica, metrics, isSpared, draw);
}
