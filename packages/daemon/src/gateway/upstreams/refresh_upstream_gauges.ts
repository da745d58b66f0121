import type {GatewayContext} from '../gateway_context.js';

/** Counts the listed upstreams that rest or leave, before metrics are read. */
export function refreshUpstreamGauges({
  metrics,
  replica: {upstreams},
  rests,
  clock,
}: Pick<GatewayContext, 'metrics' | 'replica' | 'rests' | 'clock'>): void {
  const listed = upstreams.list();
  const nowMs = clock.nowMs();
  const resting = listed.filter(({id}) => rests.isResting(id, nowMs));
  const leaving = listed.filter(entry => upstreams.leaving.has(entry));
  metrics.restingUpstreams.set(resting.length);
  metrics.leavingUpstreams.set(leaving.length);
}
