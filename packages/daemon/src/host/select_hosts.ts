import {createHash} from 'node:crypto';
import type {ListedHost} from '@parsleywood/schema/host_list';

/**
 * Selects the hosts that an account uses: a stable subset by rendezvous
 * hashing, spread over failure domains. Leaving hosts are never selected. If no
 * live host is usable, all live hosts are candidates.
 *
 * @param isUsable Whether this host considers the given host up and ready.
 */
export function selectHosts(
  account: string,
  hosts: readonly ListedHost[],
  count: number,
  isUsable: (host: string) => boolean,
): ListedHost[] {
  const live = hosts.filter(host => host.state === 'live');
  const usable = live.filter(host => isUsable(host.name));
  const ranked = (usable.length > 0 ? usable : live)
    .map(host => ({host, weight: computeWeight(account, host.name)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({host}) => host);
  return interleaveFailureDomains(ranked).slice(0, count);
}

function computeWeight(account: string, host: string): string {
  return createHash('sha256').update(`${account}\n${host}`).digest('hex');
}

/** Orders hosts round-robin over failure domains, by rank within each round. */
function interleaveFailureDomains(ranked: readonly ListedHost[]): ListedHost[] {
  const hostsPerDomain = new Map<string, number>();
  return ranked
    .map(host => {
      const round = hostsPerDomain.get(host.failureDomain) ?? 0;
      hostsPerDomain.set(host.failureDomain, round + 1);
      return {host, round};
    })
    .sort((a, b) => a.round - b.round)
    .map(({host}) => host);
}
