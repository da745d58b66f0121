/** Tokens that an attempt took. */
export interface EngineUsage {
  readonly promptTokens: number;
  /** Tokens of the answer up to its end, including those before a resume. */
  readonly completionTokens: number;
  /** Prompt tokens found in the prefix cache. */
  readonly cachedTokens: number;
}
