import type {EngineForecast} from '../engine_forecast.js';
import {describeIdleEngine} from './create_idle_engine.js';

/** Describes an engine that decodes short answers with a pause objective. */
export function describeDecodingEngine(
  upstream: string,
  count: number,
  pauseObjectiveMs = 250,
): EngineForecast {
  const request = {weight: 18_000, pauseObjectiveMs};
  return describeIdleEngine(upstream, {
    decodeRequests: Array.from({length: count}, () => request),
    slotsTaken: count,
    memoryTaken: count * 6_000,
  });
}
