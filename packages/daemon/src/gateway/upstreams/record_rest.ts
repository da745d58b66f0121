import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';

/** Keeps requests from an upstream for as long as its refusal asks. */
export function recordRest(
  {
    rests,
    clock,
    log,
    metrics,
  }: Pick<GatewayContext, 'rests' | 'clock' | 'log' | 'metrics'>,
  {id, service}: UpstreamEntry,
  restMs: number,
): void {
  if (restMs === 0 || !rests.record(id, restMs, clock.nowMs())) return;
  metrics.upstreamRests.inc({service});
  log.info('upstream_rests', {upstream: id, restMs});
}
