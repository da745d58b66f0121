import type {EngineForecast, PromptDemand} from '@parsleywood/dispatch';
import {
  UpstreamExclusion,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {StillContext} from './still_context.js';

/**
 * Returns why the choice leaves out a candidate, which depends on the request;
 * undefined if it may be chosen.
 *
 * @param forecast Absent for a plain service.
 */
export function findHindrance(
  entry: UpstreamEntry,
  service: Service | undefined,
  forecast: EngineForecast | undefined,
  {promptTokens}: Pick<PromptDemand, 'promptTokens'>,
  {
    pace,
    startView,
    placements,
  }: Pick<StillContext, 'pace' | 'startView' | 'placements'>,
  nowMs: number,
): UpstreamExclusion | undefined {
  const {id} = entry;
  if (service?.engine === undefined || forecast === undefined) {
    const {length} = placements.getUpstreamPlacements(id, nowMs).records;
    const held = {requests: length, tokens: 0, maxTokens: Infinity};
    return pace.mayTake(id, 0, held, nowMs)
      ? undefined
      : UpstreamExclusion.PACED;
  }
  if (startView.select([entry], service, promptTokens, nowMs).length === 0) {
    return UpstreamExclusion.NO_VIEW;
  }
  const {decodeRequests, prefillRequests, usedMemoryTokens} = forecast;
  const held = {
    requests: decodeRequests.length + prefillRequests.length,
    tokens: usedMemoryTokens,
    maxTokens: service.engine.memoryTokens,
  };
  return pace.mayTake(id, promptTokens, held, nowMs)
    ? undefined
    : UpstreamExclusion.PACED;
}
