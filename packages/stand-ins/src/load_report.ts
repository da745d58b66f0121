/** An engine's load, as it was when the report was made. */
export interface LoadReport {
  readonly sequence: number;
  /** The engine's own time of the report, in milliseconds. */
  readonly atMs: number;
  readonly memoryTokens: number;
  readonly usedTokens: number;
  readonly cachedTokens: number;
  /** Streams in the running batch. */
  readonly running: number;
  /** Streams waiting for the batch. */
  readonly waiting: number;
  /** Prompt tokens still to be computed, of running and waiting streams. */
  readonly waitingTokens: number;
}
