import type {EngineForecast} from '../engine_forecast.js';

/** Describes an engine without load, with the given fields replaced. */
export function describeIdleEngine(
  upstream: string,
  overrides: Partial<EngineForecast> = {},
): EngineForecast {
  return {
    upstream,
    decodeRequests: [],
    readers: [],
    passMs: 45,
    slotsTaken: 0,
    memoryTaken: 0,
    backlogMs: 0,
    nextPassPrefillMs: 0,
    slowdownFactor: 1,
    ...overrides,
  };
}
