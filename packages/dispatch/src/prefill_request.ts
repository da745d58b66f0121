/** A request whose prompt waits at an engine or is being read. */
export interface EngineReader {
  readonly weight: number;
  /** Time left to its objective; below 0 when it is late already. */
  readonly objectiveMs: number;
}
