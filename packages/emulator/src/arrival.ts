/** A request that comes. */
export interface Arrival {
  readonly atMs: number;
  /** Index of its kind in the pattern. */
  readonly kind: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
}
