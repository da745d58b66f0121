/** A request that an engine is decoding. */
export interface DecodeRequest {
  /** Weight from `weighRequest`, in tokens. */
  readonly weight: number;
  /**
   * Longest pause between events that meets the objective, in milliseconds;
   * Infinity when the request has already missed it.
   */
  readonly pauseObjectiveMs: number;
}
