/** What all hosts hold at an upstream. */
export interface HeldLoad {
  readonly requests: number;
  /** Tokens of prompts, and of answers where they are known. */
  readonly tokens: number;
  /** Tokens for which it has memory; Infinity for a plain service. */
  readonly maxTokens: number;
}
