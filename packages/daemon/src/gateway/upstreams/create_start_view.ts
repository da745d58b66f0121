import {StartView} from '@parsleywood/dispatch';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';
import {pacesService} from './paces_service.js';

/** Creates the view of the upstreams' load of a host that starts now. */
export function createStartView(
  settings: GatewaySettings,
  clock: Clock,
): StartView {
  return new StartView(clock.wallMs(), service =>
    pacesService(settings, service),
  );
}
