/** What a request asks of engines. */
export interface PromptDemand {
  readonly promptTokens: number;
  /** Tokens that the answer is expected to have. */
  readonly answerTokens: number;
  /** Time left to its latency objective, in milliseconds; may be below 0. */
  readonly objectiveMs: number;
  /** Time after which the caller gives up, in milliseconds. */
  readonly patienceMs: number;
}
