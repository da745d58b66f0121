import type {EngineSubmission} from './engine_submission.js';

/** One attempt inside an engine. */
export interface EngineStream {
  readonly submission: EngineSubmission;
  /** Order of arrival. */
  readonly arrival: number;
  /** Virtual time at which the work ends, in milliseconds. */
  readonly deadlineMs: number;
  priority: number;
  /** Position of the next token of the answer. */
  position: number;
  /** Prompt tokens still to be computed. */
  prefillLeft: number;
  /** Prompt tokens that the current step computes. */
  chunk: number;
  /** Blocks of the prefix cache that the stream holds. */
  pinnedBlocks: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Memory held outside the prefix cache and reservations, in tokens. */
  privateTokens: number;
}
