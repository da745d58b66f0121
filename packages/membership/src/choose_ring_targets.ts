import type {MemberRecord} from './member_record.js';
import {MemberState} from './member_state.js';
import {resolveState} from './resolve_state.js';

interface Place {
  readonly host: string;
  readonly failureDomain: string;
}

/**
 * Chooses the hosts that this host always probes: its successors on a ring on
 * which neighbours lie in different failure domains, so that the loss of one
 * domain leaves each of its hosts a prober.
 */
export function chooseRingTargets(
  self: Place,
  records: Iterable<MemberRecord>,
  count: number,
): string[] {
  const places: Place[] = [self];
  for (const record of records) {
    if (resolveState(record) !== MemberState.DEAD) places.push(record);
  }
  const ring = interleaveDomains(places);
  const start = ring.indexOf(self.host);
  const successors = [...ring.slice(start + 1), ...ring.slice(0, start)];
  return successors.slice(0, count);
}

function interleaveDomains(places: readonly Place[]): string[] {
  const domains = new Map<string, string[]>();
  for (const place of places) {
    const hosts = domains.get(place.failureDomain) ?? [];
    hosts.push(place.host);
    domains.set(place.failureDomain, hosts);
  }
  const columns = [...domains.keys()].sort().map(name => domains.get(name));
  const longest = Math.max(...columns.map(hosts => hosts?.length ?? 0));
  const ring: string[] = [];
  for (const hosts of columns) hosts?.sort();
  for (let row = 0; row < longest; row++) {
    for (const hosts of columns) {
      ring.push(...(hosts?.slice(row, row + 1) ?? []));
    }
  }
  return ring;
}
