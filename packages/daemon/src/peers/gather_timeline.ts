import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import {
  decodeEntry,
  mergeTimelines,
  type TimelineEntry,
} from '@parsleywood/timeline';
import type {PeerTransport} from './peer_transport.js';

/**
 * Merges the timeline events of this host with those of the other hosts, in
 * causal order. Hosts that do not answer are left out.
 */
export async function gatherTimeline(
  own: TimelinePage,
  others: readonly string[],
  transport: PeerTransport,
  query: TimelineQuery,
): Promise<TimelineEntry[]> {
  const pages = await Promise.all(
    others.map(host => transport.readTimeline(host, query)),
  );
  const events = pages.map(page => (page.isOk ? page.value.events : []));
  const merged = mergeTimelines(
    [...events, own.events].map(list => list.map(decodeEntry)),
  );
  if (query.maxEvents === 0) return merged;
  return query.afterMs > 0
    ? merged.slice(0, query.maxEvents)
    : merged.slice(-query.maxEvents);
}
