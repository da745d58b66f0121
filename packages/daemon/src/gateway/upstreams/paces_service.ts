import type {Service} from '@parsleywood/forwarding';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';

/** Whether new load of a service's upstreams is paced, by settings or configuration. */
export function pacesService(
  {pacesNewUpstreams = false}: GatewaySettings,
  {coldStart}: Service,
): boolean {
  return pacesNewUpstreams || coldStart !== undefined;
}
