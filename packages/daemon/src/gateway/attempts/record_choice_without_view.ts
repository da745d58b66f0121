import type {Service} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';

/**
 * Logs that an engine was chosen, or none, while this host did not know their load.
 *
 * @param upstream Undefined if the request is refused.
 */
export function recordChoiceWithoutView(
  {startView, log, metrics}: GatewayContext,
  service: Service | undefined,
  requestId: string,
  upstream: string | undefined,
  nowMs: number,
): void {
  if (!service || !startView.isMissing(service, nowMs)) return;
  const outcome = upstream === undefined ? 'refused' : 'placed';
  metrics.choicesWithoutView.inc({service: service.name, outcome});
  const reportAgeMs = startView.getReportAgeMs(upstream ?? '', nowMs);
  log.info('chosen_without_view', {
    requestId,
    service: service.name,
    upstream,
    viewMs: Math.round(startView.getViewMs(nowMs)),
    reportAgeMs: reportAgeMs && Math.round(reportAgeMs),
  });
}
