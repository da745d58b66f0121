import type {TimelineQuery} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from '@parsleywood/timeline';
import type {HostTimeline} from '../../host/host_timeline.js';
import {gatherTimeline} from '../../peers/gather_timeline.js';
import type {PeerTransport} from '../../peers/peer_transport.js';
import type {FleetMembership} from '../fleet/fleet_membership.js';

/** Creates the function that reads the timeline events of all live hosts. */
export function createTimelineReader(
  timeline: HostTimeline,
  fleet: Pick<FleetMembership, 'listPeers'>,
  transport: PeerTransport,
): (query: TimelineQuery) => Promise<TimelineEntry[]> {
  return query =>
    gatherTimeline(timeline.read(query), fleet.listPeers(), transport, query);
}
