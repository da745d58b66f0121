import type {EngineForecast} from './engine_forecast.js';
import type {PassModel} from './pass_model.js';
import type {PrefillTiming} from './prefill_timing.js';

/** Estimates when an engine would have prefilled a part, and in which pass. */
export function estimatePrefillTiming(
  engine: EngineForecast,
  model: PassModel,
  tokens: number,
  millionPairs: number,
): PrefillTiming {
  const {backlogMs, passMs, slowdownFactor, decodeRequests} = engine;
  const prefillMs =
    slowdownFactor * model.estimatePrefillMs(tokens, millionPairs);
  if (decodeRequests.length === 0) {
    return {prefillMs, finishMs: backlogMs + prefillMs, passMs: 0};
  }
  const passes = Math.ceil(tokens / model.maxPrefillTokensPerPass);
  return {
    prefillMs,
    finishMs: passMs / 2 + backlogMs + passes * passMs + prefillMs,
    passMs: passMs + prefillMs / passes + engine.nextPassPrefillMs,
  };
}
