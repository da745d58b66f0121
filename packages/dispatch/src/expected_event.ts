/** When the first event of a placement is expected. */
export interface ExpectedEvent {
  /**
   * Time from the placement to the first event at the published speed, in
   * milliseconds; absent where the service publishes none.
   */
  readonly forecastMs?: number;
  /**
   * For each of its engines, the time in which that engine is done with its part at the
   * published speed, in milliseconds.
   */
  readonly partsMs: ReadonlyMap<string, number>;
  /** Prefill time that it takes of each of its engines, in milliseconds. */
  readonly workMs: number;
  /** Time up to which the first event is in time, in milliseconds. */
  readonly limitMs: number;
  /** Whether the end of the placement is all that other hosts learn of an answer. */
  readonly endsWithAnswer: boolean;
}
