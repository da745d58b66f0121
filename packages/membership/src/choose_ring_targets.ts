import type {MemberRecord} from './member_record.js';
import {MemberState} from './member_state.js';
import {resolveState} from './resolve_state.js';

interface RingHost {
  readonly host: string;
  readonly failureDomain: string;
}

/**
 * Chooses the hosts that this host probes in every round: its successors on a
 * ring. Neighbours on the ring are in different failure domains, so that after
 * the loss of a domain each of its hosts still has a prober.
 */
export function chooseRingTargets(
  self: RingHost,
  records: Iterable<MemberRecord>,
  count: number,
): string[] {
  const hosts: RingHost[] = [self];
  for (const record of records) {
    if (resolveState(record) !== MemberState.DEAD) hosts.push(record);
  }
  const ring = interleaveDomains(hosts);
  const start = ring.indexOf(self.host);
  const successors = [...ring.slice(start + 1), ...ring.slice(0, start)];
  return successors.slice(0, count);
}

function interleaveDomains(ringHosts: readonly RingHost[]): string[] {
  const domains = new Map<string, string[]>();
  for (const ringHost of ringHosts) {
    const hosts = domains.get(ringHost.failureDomain) ?? [];
    hosts.push(ringHost.host);
    domains.set(ringHost.failureDomain, hosts);
  }
  const hostsByDomain = [...domains.keys()]
    .sort()
    .map(name => domains.get(name));
  const largestDomainSize = Math.max(
    ...hostsByDomain.map(hosts => hosts?.length ?? 0),
  );
  const ring: string[] = [];
  for (const hosts of hostsByDomain) hosts?.sort();
  for (let index = 0; index < largestDomainSize; index++) {
    for (const hosts of hostsByDomain) {
      ring.push(...(hosts?.slice(index, index + 1) ?? []));
    }
  }
  return ring;
}
