import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewaySpan} from './gateway_span.js';

/** Time in which requests that were sent before arrive. */
const SETTLE_MS = 500;
const MAX_ARRIVALS = 2;

/**
 * Finds upstreams that asked a gateway for a rest and got more requests from it.
 *
 * @param impairments Times in which gateways were stopped or cut off.
 */
export function checkRests(
  upstreams: readonly CheckedUpstream[],
  impairments: readonly GatewaySpan[],
): string[] {
  return upstreams.flatMap(({id, rests, arrivals, holds, outages}) =>
    rests.flatMap(({gateway, fromMs, untilMs}) => {
      const isExcused =
        impairments.some(
          one =>
            one.gateway === gateway &&
            one.fromMs < untilMs &&
            fromMs < one.untilMs,
        ) ||
        [...holds, ...outages].some(
          one => one.fromMs < untilMs && fromMs < one.untilMs,
        );
      const late = arrivals.filter(
        one =>
          one.gateway === gateway &&
          one.atMs > fromMs + SETTLE_MS &&
          one.atMs < untilMs,
      );
      if (isExcused || late.length <= MAX_ARRIVALS) return [];
      return [`${id} got ${late.length} requests from g${gateway} in its rest`];
    }),
  );
}
