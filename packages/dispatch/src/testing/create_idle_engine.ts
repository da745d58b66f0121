import type {EngineForecast} from '../engine_forecast.js';

/** Creates the forecast of an engine without load, with the given fields replaced. */
export function createIdleEngine(
  upstream: string,
  overrides: Partial<EngineForecast> = {},
): EngineForecast {
  return {
    upstream,
    decodeRequests: [],
    prefillRequests: [],
    passMs: 45,
    usedSlots: 0,
    usedMemoryTokens: 0,
    backlogMs: 0,
    nextPassPrefillMs: 0,
    slowdownFactor: 1,
    ...overrides,
  };
}
