import {createHash} from 'node:crypto';
import type {ListedHost} from '@parsleywood/schema/host_list';

/**
 * Names the hosts that an account uses: a stable subset by rendezvous hash,
 * spread over failure domains, never a leaving host.
 *
 * @param usable Whether this host believes the other one to be up.
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

/** Takes one host of each failure domain in turn, keeping the rank. */
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
