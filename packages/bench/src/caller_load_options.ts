/** What a caller load sends. */
export interface CallerLoadOptions {
  readonly completionsPerSecond: number;
  readonly ordersPerSecond: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Time limit of each request, in milliseconds. */
  readonly limitMs: number;
  readonly seed: number;
}
