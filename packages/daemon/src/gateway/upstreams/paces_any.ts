import type {SiteReplica} from '@parsleywood/forwarding';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import {pacesService} from './paces_service.js';

/** Whether new load of any service's upstreams is paced. */
export function pacesAny(
  settings: GatewaySettings,
  {rules}: SiteReplica,
): boolean {
  const services = rules?.configuration.services ?? [];
  return services.some(service => pacesService(settings, service));
}
