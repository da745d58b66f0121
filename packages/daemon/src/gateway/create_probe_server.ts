import type {HostMemory} from '../host/host_memory.js';
import {gatherTimeline} from '../peers/gather_timeline.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {GatewayServer} from './callers/gateway_server.js';
import {ProbeServer} from './callers/probe_server.js';
import {RequestExplainer} from './explain/request_explainer.js';
import type {FleetMembership} from './fleet/fleet_membership.js';
import type {GatewayContext} from './gateway_context.js';
import type {SiteUpdater} from './site/site_updater.js';
import {refreshUpstreamGauges} from './upstreams/refresh_upstream_gauges.js';

/** The parts of a host that its probes ask. */
interface ProbedParts {
  readonly fleet: FleetMembership;
  readonly siteUpdater: SiteUpdater;
  readonly server: GatewayServer;
  readonly transport: PeerTransport;
}

/** Creates the server of a gateway's readiness, metrics, timeline and explanations. */
export function createProbeServer(
  host: string,
  readinessPath: string,
  context: GatewayContext,
  {fleet, siteUpdater, server, transport}: ProbedParts,
  memory: HostMemory,
  isReady: () => boolean,
): ProbeServer {
  const {metrics, log, timeline} = context;
  return new ProbeServer(
    readinessPath,
    isReady,
    metrics,
    () => {
      metrics.openRequests.set(server.openRequests);
      metrics.droppedLogLines.set(log.droppedLines());
      refreshUpstreamGauges(context);
    },
    query =>
      gatherTimeline(timeline.read(query), fleet.listPeers(), transport, query),
    new RequestExplainer(host, context, server, siteUpdater, fleet),
    memory,
  );
}
