/** Token counts of one answer, as reported by the engine. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Prompt tokens found in the engine's prefix cache. */
  readonly cachedTokens: number;
}
