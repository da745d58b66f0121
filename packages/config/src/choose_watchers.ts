import {createHash} from 'node:crypto';
import type {Member} from './member.js';

/**
 * Chooses the hosts of one failure domain that watch a key, by rendezvous
 * hashing: when a host joins or leaves, only the choices that involve it
 * change.
 */
export function chooseWatchers(
  key: string,
  failureDomain: string,
  members: readonly Member[],
  count: number,
): string[] {
  return members
    .filter(member => member.failureDomain === failureDomain)
    .map(({host}) => ({host, weight: computeWeight(key, host)}))
    .sort((a, b) => (a.weight < b.weight ? -1 : 1))
    .slice(0, count)
    .map(({host}) => host);
}

function computeWeight(key: string, host: string): string {
  return createHash('sha256')
    .update(JSON.stringify([key, host]))
    .digest('hex');
}
