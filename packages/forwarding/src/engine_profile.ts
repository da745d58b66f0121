/** Published figures of a service's model engines. */
export interface EngineProfile {
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Token steps in one pass while any request is writing. */
  readonly stepsPerPass: number;
  /** Time of one token step, in milliseconds. */
  readonly stepMs: number;
  /** Added to a step for each request that is writing, in milliseconds. */
  readonly stepMsPerWriter: number;
  /** Added to a step for 1,000 tokens of context, in milliseconds. */
  readonly stepMsPerThousandTokens: number;
  /** Prompt tokens read in a millisecond. */
  readonly readTokensPerMs: number;
  /** Time for a million pairs of a token and an earlier one, in milliseconds. */
  readonly readMsPerMillionPairs: number;
  /** Most prompt tokens read in one step. */
  readonly chunkTokens: number;
  /** Mean number of tokens of an answer. */
  readonly meanAnswerTokens: number;
}
