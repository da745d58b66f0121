/** Tokens of one answer, as the engine counted them. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Prompt tokens found in the engine's prefix cache. */
  readonly cachedTokens: number;
}
