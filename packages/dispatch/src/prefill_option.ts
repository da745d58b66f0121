import type {EngineForecast} from './engine_forecast.js';

/** What it means for an engine to read a part of a prompt. */
export interface ReadOption {
  readonly engine: EngineForecast;
  /** Time until the part is read, in milliseconds. */
  readonly finishMs: number;
  /** Length of the pass that reads it; 0 where nothing is written. */
  readonly passMs: number;
  /** What other requests lose, in tokens. */
  readonly harm: number;
}
