import type {EngineOptions} from './engine_options.js';

/** The constants of the engine model. */
export const ENGINE_DEFAULTS: EngineOptions = {
  memoryTokens: 400_000,
  prefillTokensPerSecond: 40_000,
  decodeTokensPerSecond: 4_000,
  chunkTokens: 2_048,
  blockTokens: 512,
  stepOverheadMs: 2,
  maxRunning: 128,
  maxWaiting: 4_096,
  loadIntervalMs: 250,
  cacheEventDelayMs: 300,
  cacheEventLossInterval: 50,
  cacheEventsKept: 8_192,
  loadModelMs: 5_000,
  loadAdapterMs: 1_000,
};
