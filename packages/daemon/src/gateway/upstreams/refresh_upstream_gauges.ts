import type {GatewayContext} from '../gateway_context.js';

/** Refreshes the gauges of upstreams and evacuations before metrics are read. */
export function refreshUpstreamGauges({
  metrics,
  replica: {upstreams, evacuations},
  rests,
  coldRates,
  pacing,
  clock,
}: Pick<
  GatewayContext,
  'metrics' | 'replica' | 'rests' | 'coldRates' | 'pacing' | 'clock'
>): void {
  const listed = upstreams.list();
  const nowMs = clock.nowMs();
  const resting = listed.filter(({id}) => rests.isResting(id, nowMs));
  const leaving = listed.filter(entry => upstreams.leaving.has(entry));
  metrics.restingUpstreams.set(resting.length);
  metrics.leavingUpstreams.set(leaving.length);
  coldRates.refreshGauges();
  pacing.advance(nowMs);
  metrics.pacedUpstreams.set(pacing.pace.size);
  metrics.paceWindow.set(pacing.pace.totalWindow);
  metrics.evacuations.refresh(evacuations, nowMs);
}
