import type {PromptPrefix} from './prompt_prefix.js';

/** The properties of a request that routing depends on. */
export interface RoutedRequest {
  readonly id: string;
  readonly account: string;
  readonly model: string;
  /** Estimated prompt tokens. */
  readonly promptTokens: number;
  /** Maximum number of tokens of the answer. */
  readonly answerTokens: number;
  /** Cacheable prefixes of the prompt, shortest first; empty when unknown. */
  readonly prefixes: readonly PromptPrefix[];
  /** Monotonic time of arrival. */
  readonly arrivedMs: number;
  /** Monotonic time at which the time limit of the request ends. */
  readonly deadlineMs: number;
  /**
   * Names of upstreams that this request must not run on, for example because
   * it failed there.
   */
  readonly excludedUpstreams: readonly string[];
}
