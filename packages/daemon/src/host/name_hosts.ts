import {createHash} from 'node:crypto';
import type {ListedHost} from '@parsleywood/schema/host_list';

/**
 * Names the hosts that an account uses: a stable subset by rendezvous hash,
 * spread over failure domains, never a leaving host.
 *
 * @param usable Whether this host believes the other one to be up.
 */
export function nameHosts(
  account: string,
  hosts: readonly ListedHost[],
  count: number,
  usable: (host: string) => boolean,
): ListedHost[] {
  const live = hosts.filter(host => host.state === 'live');
  const up = live.filter(host => usable(host.name));
  const ranked = (up.length > 0 ? up : live)
    .map(host => ({host, weight: weigh(account, host.name)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({host}) => host);
  return spread(ranked).slice(0, count);
}

function weigh(account: string, host: string): string {
  return createHash('sha256').update(`${account}\n${host}`).digest('hex');
}

/** Takes one host of each failure domain in turn, keeping the rank. */
function spread(ranked: readonly ListedHost[]): ListedHost[] {
  const turns = new Map<string, number>();
  return ranked
    .map(host => {
      const turn = turns.get(host.failureDomain) ?? 0;
      turns.set(host.failureDomain, turn + 1);
      return {host, turn};
    })
    .sort((a, b) => a.turn - b.turn)
    .map(({host}) => host);
}
