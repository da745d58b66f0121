import type {EngineOptions} from './engine_options.js';

/** Multiplies the rates of an engine. */
export function scaleEngine(
  options: EngineOptions,
  speed: number,
): EngineOptions {
  return {
    ...options,
    prefillTokensPerSecond: options.prefillTokensPerSecond * speed,
    decodeTokensPerSecond: options.decodeTokensPerSecond * speed,
    stepOverheadMs: options.stepOverheadMs / speed,
  };
}
