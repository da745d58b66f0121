import {StartView} from '@parsleywood/dispatch';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';

/** Creates the view of the upstreams' load of a host that starts now. */
export function createStartView(
  settings: GatewaySettings,
  clock: Clock,
): StartView {
  return new StartView(
    clock.wallMs(),
    () => settings.readsLoadAtStart === true,
  );
}
