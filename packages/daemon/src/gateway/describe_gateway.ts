import type {PeerStage} from '@parsleywood/membership';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {FleetMembership} from './fleet/fleet_membership.js';
import type {SiteUpdater} from './site/site_updater.js';

/** Describes a gateway to operators. */
export function describeGateway(
  {host, failureDomain}: GatewaySettings,
  stage: PeerStage,
  updater: SiteUpdater,
  fleet: FleetMembership,
): object {
  return {
    name: host,
    failureDomain,
    state: stage,
    ...updater.position,
    version: updater.version,
    storeAgeMs: updater.getStoreAgeMs(),
    hosts: fleet.countHosts(),
  };
}
