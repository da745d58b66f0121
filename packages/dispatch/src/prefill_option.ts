import type {EngineForecast} from './engine_forecast.js';

/** Expected effect of prefilling a part of a prompt on an engine. */
export interface PrefillOption {
  readonly engine: EngineForecast;
  /** Time until prefill of the part is done, in milliseconds. */
  readonly finishMs: number;
  /** Length of the pass that prefills it; 0 when the engine does not decode. */
  readonly passMs: number;
  /** Value that other requests lose through the delay, in tokens. */
  readonly othersLossTokens: number;
}
