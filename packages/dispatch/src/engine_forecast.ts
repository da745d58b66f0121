import type {DecodeRequest} from './decode_request.js';
import type {PrefillRequest} from './prefill_request.js';

/** Estimated load of an engine, derived from the placements of all hosts. */
export interface EngineForecast {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly decodeRequests: readonly DecodeRequest[];
  readonly prefillRequests: readonly PrefillRequest[];
  /** Length of a pass that only decodes, in milliseconds. */
  readonly passMs: number;
  /** Number of requests that hold a slot or will need one. */
  readonly usedSlots: number;
  /** KV cache in use or already promised to placements, in tokens. */
  readonly usedMemoryTokens: number;
  /** Time until all prefill work placed there is done, in milliseconds. */
  readonly backlogMs: number;
  /** Prefill time that probably falls into the next pass, in milliseconds. */
  readonly nextPassPrefillMs: number;
  /** Mean ratio of measured to expected pass time; 1 at normal speed. */
  readonly slowdownFactor: number;
}
