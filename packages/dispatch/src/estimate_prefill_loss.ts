import type {EngineForecast} from './engine_forecast.js';
import {estimateLatenessLoss} from './estimate_lateness_loss.js';

/** Value that requests in prefill lose when their first event is delayed, in tokens. */
export function estimatePrefillLoss(
  engine: EngineForecast,
  delayMs: number,
): number {
  const undelayedMs = engine.backlogMs + engine.passMs;
  return engine.prefillRequests.reduce((total, {weight, objectiveMs}) => {
    const limits = {objectiveMs, callerTimeoutMs: Infinity};
    const addedLoss =
      estimateLatenessLoss(undelayedMs + delayMs, limits) -
      estimateLatenessLoss(undelayedMs, limits);
    return total + weight * addedLoss;
  }, 0);
}
