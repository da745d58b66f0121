import type {HostMemory} from '../host/host_memory.js';
import {gatherTimeline} from '../peers/gather_timeline.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import {ProbeServer} from './callers/probe_server.js';
import type {FleetMembership} from './fleet/fleet_membership.js';
import type {GatewayContext} from './gateway_context.js';
import {refreshUpstreamGauges} from './upstreams/refresh_upstream_gauges.js';

/**
 * Creates the server of a gateway's readiness, metrics and timeline.
 *
 * @param countOpenRequests Returns the number of requests that callers wait for.
 */
export function createProbeServer(
  readinessPath: string,
  context: GatewayContext,
  fleet: FleetMembership,
  transport: PeerTransport,
  memory: HostMemory,
  isReady: () => boolean,
  countOpenRequests: () => number,
): ProbeServer {
  const {metrics, log, timeline} = context;
  return new ProbeServer(
    readinessPath,
    isReady,
    metrics,
    () => {
      metrics.openRequests.set(countOpenRequests());
      metrics.droppedLogLines.set(log.droppedLines());
      refreshUpstreamGauges(context);
    },
    query =>
      gatherTimeline(timeline.read(query), fleet.listPeers(), transport, query),
    memory,
  );
}
