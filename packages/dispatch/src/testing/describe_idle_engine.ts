import type {EngineForecast} from '../engine_forecast.js';

/** Describes an engine that does nothing, but for what is given. */
export function idleEngine(
  upstream: string,
  changes: Partial<EngineForecast> = {},
): EngineForecast {
  return {
    upstream,
    writers: [],
    readers: [],
    passMs: 45,
    slotsTaken: 0,
    memoryTaken: 0,
    backlogMs: 0,
    nextPassReadMs: 0,
    slowness: 1,
    ...changes,
  };
}
