import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Requests added to an upstream's count when it is in another failure domain. */
const OTHER_DOMAIN_REQUESTS = 0.5;

/**
 * Chooses the upstream of a plain call: the one with the fewest requests per slot.
 * On equal load, upstreams in the host's own failure domain are preferred.
 *
 * @param countRequests Number of requests of all hosts at an upstream.
 * @param tieBreak Number from 0 up to but not including 1 that selects among equals.
 */
export function pickServiceUpstream(
  upstreams: readonly UpstreamEntry[],
  failureDomain: string,
  countRequests: (id: string) => number,
  tieBreak: number,
): UpstreamEntry | undefined {
  const costs = upstreams.map(entry => {
    const isLocal = entry.failureDomain === failureDomain;
    const requests = countRequests(entry.id);
    return (requests + (isLocal ? 0 : OTHER_DOMAIN_REQUESTS)) / entry.slots;
  });
  const lowestCost = Math.min(...costs);
  const cheapest = upstreams.filter(
    (_entry, index) => costs[index] === lowestCost,
  );
  return cheapest[Math.floor(tieBreak * cheapest.length)];
}
