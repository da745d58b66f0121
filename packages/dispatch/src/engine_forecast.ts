import type {EngineReader} from './prefill_request.js';
import type {EngineWriter} from './decode_request.js';

/** What an engine is expected to be doing. */
export interface EngineForecast {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly writers: readonly EngineWriter[];
  readonly readers: readonly EngineReader[];
  /** Length of a pass in which nothing is read, in milliseconds. */
  readonly passMs: number;
  /** Requests that hold a slot or will. */
  readonly slotsTaken: number;
  /** Tokens of memory that are taken or will be. */
  readonly memoryTaken: number;
  /** Time until everything placed there is read, in milliseconds. */
  readonly backlogMs: number;
  /** Part of it that is likely to be read in the next pass. */
  readonly nextPassReadMs: number;
  /** How much slower than its kind the engine is; 1 for not. */
  readonly slowness: number;
}
