import type {EngineForecast} from '../engine_forecast.js';
import {createIdleEngine} from './create_idle_engine.js';

/** Creates the forecast of an engine that decodes short answers with a pause objective. */
export function createDecodingEngine(
  upstream: string,
  count: number,
  pauseObjectiveMs = 250,
): EngineForecast {
  const request = {weight: 18_000, pauseObjectiveMs};
  return createIdleEngine(upstream, {
    decodeRequests: Array.from({length: count}, () => request),
    usedSlots: count,
    usedMemoryTokens: count * 6_000,
  });
}
