/** When the first event of a placement is expected. */
export interface ExpectedEvent {
  /**
   * Time from the placement to the first event at the published speed, in
   * milliseconds; absent where the service publishes none.
   */
  readonly forecastMs?: number;
  /** Time up to which the first event is in time, in milliseconds. */
  readonly limitMs: number;
  /** Whether the end of the placement is all that other hosts learn of an answer. */
  readonly endsWithAnswer: boolean;
}
