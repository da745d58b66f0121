import type {EngineJob} from './engine_job.js';

/** What one engine reads of a prompt. */
export interface PromptPart {
  readonly job: EngineJob;
  /** Parts of prompts that several engines read go before other reads. */
  readonly isAhead: boolean;
  readonly tokens: number;
  readonly millionPairs: number;
  /** Tokens of the prompt that the engine keeps until the answer is over. */
  readonly heldTokens: number;
  leftTokens: number;
  /** Told when the part is read. */
  readonly onRead: () => void;
}
