import {chooseStartRetryAfterMs} from '@parsleywood/forwarding';
import {PeerStage, type PeerHeartbeat} from '@parsleywood/membership';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';

/**
 * Returns the Retry-After of a host that has no configuration yet, in milliseconds;
 * undefined for the usual one, on sites that do not pace what starts.
 */
export function planStartRetryMs(
  {pacesNewUpstreams}: GatewaySettings,
  peers: readonly PeerHeartbeat[],
  draw: number,
): number | undefined {
  if (pacesNewUpstreams !== true) return undefined;
  const othersServe = peers.some(({stage}) => stage === PeerStage.READY);
  return chooseStartRetryAfterMs(othersServe, draw);
}
