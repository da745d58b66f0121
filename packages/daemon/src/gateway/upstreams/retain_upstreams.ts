import type {GatewayContext} from '../gateway_context.js';

/** Drops what is known of upstreams that are no longer in use. */
export function retainUpstreams(
  context: GatewayContext,
  ids: ReadonlySet<string>,
): void {
  context.connectionPool.retain(ids);
  context.health.retain(ids);
  context.limits.retain(ids);
  context.rests.retain(ids);
  context.unreadableRests.retain(ids);
  context.unreadableLimits.retain(ids);
  context.placements.retain(ids);
  context.chooser.retain(ids);
  context.startView.retain(ids);
}
