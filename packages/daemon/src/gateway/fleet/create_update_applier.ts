import type {
  PlacementRegistry,
  StartView,
  UpstreamHealth,
  UpstreamLimits,
} from '@parsleywood/dispatch';
import type {SiteReplica} from '@parsleywood/forwarding';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {SuspectTracker} from '../../upstreams/suspect_tracker.js';
import {pacesAny} from '../upstreams/paces_any.js';
import type {UpstreamPacing} from '../upstreams/upstream_pacing.js';
import {PlacementExchange} from './placement_exchange.js';
import {UpdateApplier} from './update_applier.js';
import type {UpdateRelay} from './update_relay.js';

interface UpdatedState {
  readonly placements: PlacementRegistry;
  readonly health: UpstreamHealth;
  readonly limits: UpstreamLimits;
  readonly suspects: SuspectTracker;
  readonly pacing: UpstreamPacing;
}

/** Creates what applies the updates of other hosts to this host's state. */
export function createUpdateApplier(
  settings: GatewaySettings,
  replica: SiteReplica,
  relay: UpdateRelay,
  startView: StartView,
  {placements, health, limits, suspects, pacing}: UpdatedState,
): UpdateApplier {
  return new UpdateApplier(
    placements,
    health,
    limits,
    suspects,
    replica.upstreams.leaving,
    pacing,
    new PlacementExchange(
      placements,
      startView,
      settings.peersAddress,
      relay,
      () => pacesAny(settings, replica),
    ),
  );
}
