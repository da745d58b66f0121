import type {UpstreamEntry} from '@parsleywood/forwarding';

/** What a difference of failure domain counts, in requests at the upstream. */
const OTHER_DOMAIN_COST = 0.5;

/**
 * Chooses the upstream of a plain call: the one with the fewest requests for its
 * slots, in the host's own failure domain where that is equal.
 *
 * @param countRequests Requests of all hosts at an upstream.
 * @param tieBreak Number between 0 and 1 that spreads equal choices.
 */
export function pickServiceUpstream(
  upstreams: readonly UpstreamEntry[],
  failureDomain: string,
  countRequests: (id: string) => number,
  tieBreak: number,
): UpstreamEntry | undefined {
  const costs = upstreams.map(entry => {
    const isNear = entry.failureDomain === failureDomain;
    const requests = countRequests(entry.id);
    return (requests + (isNear ? 0 : OTHER_DOMAIN_COST)) / entry.slots;
  });
  const lowest = Math.min(...costs);
  const equal = upstreams.filter((_entry, at) => costs[at] === lowest);
  return equal[Math.floor(tieBreak * equal.length)];
}
