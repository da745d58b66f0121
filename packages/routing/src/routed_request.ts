import type {PromptPrefix} from './prompt_prefix.js';

/** One request as the router sees it. */
export interface RoutedRequest {
  readonly id: string;
  readonly account: string;
  readonly model: string;
  /** Estimated prompt tokens. */
  readonly promptTokens: number;
  /** Tokens that the answer may take at most. */
  readonly answerTokens: number;
  /** Prefixes of the prompt, in rising order of length; empty when unknown. */
  readonly prefixes: readonly PromptPrefix[];
  /** Monotonic time of arrival. */
  readonly arrivedMs: number;
  /** Monotonic time at which the time limit passes. */
  readonly deadlineMs: number;
  /** Upstreams that this request must not run on, such as those it failed on. */
  readonly avoid: readonly string[];
}
