/** An engine's load report, as it answers GET /v1/load. */
export interface EngineReport {
  /** Changes when the engine starts anew. */
  readonly incarnation: string;
  /** Grows with each report; starts anew with the engine. */
  readonly sequence: number;
  /** The engine's own time of the report, in milliseconds. */
  readonly atMs: number;
  readonly usedTokens: number;
  /** Requests in the running batch. */
  readonly running: number;
  /** Prompt tokens that are not yet computed. */
  readonly waitingTokens: number;
  /** Prompt tokens of the longest unfinished prefill, where it is told. */
  readonly longestPrefillTokens?: number;
}
