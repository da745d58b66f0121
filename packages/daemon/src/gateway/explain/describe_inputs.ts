import type {ExplainedInputs} from '@parsleywood/schema/explanation';
import type {GatewayContext} from '../gateway_context.js';

/**
 * Describes how old the knowledge is by which a host decides.
 *
 * @param storeAgeMs Time since the store last answered; infinite if it never did.
 * @param heardAtMs Times of the last heartbeats of the other live hosts.
 */
export function describeInputs(
  {
    replica,
    placements,
    clock,
  }: Pick<GatewayContext, 'replica' | 'placements' | 'clock'>,
  storeAgeMs: number,
  heardAtMs: readonly number[],
): ExplainedInputs {
  const nowMs = clock.nowMs();
  return {
    ...(Number.isFinite(storeAgeMs) && {storeAgeMs: Math.round(storeAgeMs)}),
    ...replica.position,
    version: replica.version,
    peers: heardAtMs.length,
    ...(heardAtMs.length > 0 && {
      newestPeerMs: Math.round(nowMs - Math.max(...heardAtMs)),
      oldestPeerMs: Math.round(nowMs - Math.min(...heardAtMs)),
    }),
    placements: placements.size,
    // The monotonic clock starts with the process.
    upMs: Math.round(nowMs),
  };
}
