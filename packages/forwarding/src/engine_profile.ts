/** Performance figures that operators publish for the engines of a service. */
export interface EngineProfile {
  /** Maximum number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** KV cache capacity of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Decode steps in one batch step while any request is decoding. */
  readonly stepsPerPass: number;
  /** Base time of one decode step, in milliseconds. */
  readonly stepMs: number;
  /** Added to a step for each request that is decoding, in milliseconds. */
  readonly stepMsPerWriter: number;
  /** Added to a step for each 1,000 tokens of context, in milliseconds. */
  readonly stepMsPerThousandTokens: number;
  /** Prefill throughput, in prompt tokens per millisecond. */
  readonly readTokensPerMs: number;
  /** Prefill attention time per million (token, earlier token) pairs, in ms. */
  readonly readMsPerMillionPairs: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
  /** Mean length of an answer, in tokens. */
  readonly meanAnswerTokens: number;
}
