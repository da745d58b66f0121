import type {GatewayContext} from '../gateway_context.js';

/** Counts the upstreams that rest, leave or are paced, before metrics are read. */
export function refreshUpstreamGauges({
  metrics,
  replica: {upstreams},
  rests,
  pacing,
  clock,
}: Pick<
  GatewayContext,
  'metrics' | 'replica' | 'rests' | 'pacing' | 'clock'
>): void {
  const listed = upstreams.list();
  const nowMs = clock.nowMs();
  const resting = listed.filter(({id}) => rests.isResting(id, nowMs));
  const leaving = listed.filter(entry => upstreams.leaving.has(entry));
  metrics.restingUpstreams.set(resting.length);
  metrics.leavingUpstreams.set(leaving.length);
  pacing.advance(nowMs);
  metrics.pacedUpstreams.set(pacing.pace.size);
  metrics.paceWindow.set(pacing.pace.totalWindow);
}
