import {chooseStartRetryAfterMs} from '@parsleywood/forwarding';
import {PeerStage, type PeerHeartbeat} from '@parsleywood/membership';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';

/**
 * Returns the Retry-After of a host that has no configuration yet, in milliseconds;
 * undefined for the usual one, on sites that do not ask for it.
 */
export function planStartRetryMs(
  {spreadsStartReturns}: GatewaySettings,
  peers: readonly PeerHeartbeat[],
  draw: number,
): number | undefined {
  if (spreadsStartReturns !== true) return undefined;
  const othersServe = peers.some(({stage}) => stage === PeerStage.READY);
  return chooseStartRetryAfterMs(othersServe, draw);
}
