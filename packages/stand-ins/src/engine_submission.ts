import type {EngineFinish} from './engine_finish.js';

/** One attempt as it is sent to an engine. */
export interface EngineSubmission {
  readonly attempt: string;
  /** Host and incarnation that sent the attempt. */
  readonly owner: string;
  readonly model: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Hashes of the prompt's full blocks, each covering all blocks before it. */
  readonly blocks: readonly string[];
  /** Tokens of the whole answer. */
  readonly answerTokens: number;
  /** How the answer ends. */
  readonly finish: EngineFinish;
  /** Position in the answer of the first token wanted. */
  readonly resumeFrom: number;
  /** Time after which the engine ends the work, in milliseconds. */
  readonly limitMs: number;
  /** Reservation on this engine that the attempt uses. */
  readonly reservation?: string;
  /** Tokens that reservations on other engines hold for the attempt. */
  readonly remoteTokens?: number;
}
