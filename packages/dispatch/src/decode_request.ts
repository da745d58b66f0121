/** A request whose answer an engine is writing. */
export interface EngineWriter {
  readonly weight: number;
  /** Longest pause that is in time; Infinity where one was exceeded already. */
  readonly pauseObjectiveMs: number;
}
