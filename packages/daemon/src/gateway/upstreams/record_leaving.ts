import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';

/** Takes an upstream that leaves out of use, here and at the other hosts. */
export function recordLeaving(
  {
    replica,
    connectionPool,
    publisher,
    log,
  }: Pick<GatewayContext, 'replica' | 'connectionPool' | 'publisher' | 'log'>,
  {id, bornMs = 0}: UpstreamEntry,
): void {
  if (!replica.upstreams.leaving.record(id, bornMs)) return;
  connectionPool.closeIdle(id);
  publisher.publishLeaving(id, bornMs);
  log.info('upstream_leaving', {upstream: id});
}
