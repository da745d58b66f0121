import type {PeerStage, ReachState} from '@parsleywood/membership';
import type {HostBeat} from '@parsleywood/schema/fleet';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {SiteUpdater} from '../site/site_updater.js';
import {HOST_STAGES} from './host_stages.js';
import {REACH_STATES} from './reach_states.js';

/** Describes this host for a heartbeat, with the fields of `changes` replaced. */
export function describeHost(
  {
    peersAddress,
    callersAddress,
    failureDomain,
    processorShare = 1,
  }: GatewaySettings,
  stage: PeerStage,
  reach: ReachState,
  {position, version}: Pick<SiteUpdater, 'position' | 'version'>,
  changes: Pick<HostBeat, 'relays' | 'suspectsHash' | 'hosts'> &
    Partial<HostBeat>,
): HostBeat {
  return {
    peersAddress,
    callersAddress,
    failureDomain,
    stage: HOST_STAGES[stage],
    upstreamReach: REACH_STATES[reach],
    ...position,
    version,
    hearsReceiver: false,
    knownAddresses: [],
    processorShare,
    subscribes: false,
    ...changes,
  };
}
