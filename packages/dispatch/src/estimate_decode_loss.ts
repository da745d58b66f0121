import type {EngineForecast} from './engine_forecast.js';
import {estimateLatenessLoss} from './estimate_lateness_loss.js';

/** Value that decoding requests lose when a pass pauses them, in tokens. */
export function estimateDecodeLoss(
  {decodeRequests}: EngineForecast,
  pauseMs: number,
): number {
  return decodeRequests.reduce((total, {weight, pauseObjectiveMs}) => {
    const limits = {objectiveMs: pauseObjectiveMs, callerTimeoutMs: Infinity};
    return total + weight * estimateLatenessLoss(pauseMs, limits);
  }, 0);
}
