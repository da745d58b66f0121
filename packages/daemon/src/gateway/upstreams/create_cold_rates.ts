import {ColdRates} from '@parsleywood/dispatch';
import type {SiteReplica} from '@parsleywood/forwarding';
import type {PeerSighting, PeerStage} from '@parsleywood/membership';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {ColdMetrics} from './cold_metrics.js';
import {ColdRateMonitor} from './cold_rate_monitor.js';

/** Bounds of the requests to a cold upstream where the settings name none. */
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;

/** What the rate limit reads, and where it reports. */
interface Parts {
  readonly settings: GatewaySettings;
  readonly replica: SiteReplica;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/**
 * Creates the rate limit of cold upstreams.
 *
 * @param listSightings Returns the other hosts that are heard.
 * @param readStage Returns the stage that this host reports to its peers.
 */
export function createColdRates(
  {settings, replica, clock, log, metrics}: Parts,
  listSightings: () => readonly PeerSighting[],
  readStage: () => PeerStage,
): ColdRateMonitor {
  const {peersAddress, seedPeers, bounds} = settings;
  const {coldOverage = COLD_OVERAGE, coldSlack = COLD_SLACK} = bounds;
  const coldBounds = {overage: coldOverage, slack: coldSlack};
  return new ColdRateMonitor(
    peersAddress,
    new ColdRates(peersAddress, seedPeers, coldBounds, clock.nowMs()),
    replica,
    clock,
    log,
    new ColdMetrics(metrics.host.registry),
    listSightings,
    readStage,
  );
}
