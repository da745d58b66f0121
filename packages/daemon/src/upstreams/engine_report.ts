/** Load report of an engine: the response body of GET /v1/load. */
export interface EngineReport {
  /** Changes when the engine restarts. */
  readonly incarnation: string;
  /** Increases with each report; reset when the engine restarts. */
  readonly sequence: number;
  /** Time of the report on the engine's own clock, in milliseconds. */
  readonly atMs: number;
  readonly usedTokens: number;
  /** Number of requests in the running batch. */
  readonly running: number;
  /** Prompt tokens whose prefill is not yet done. */
  readonly waitingTokens: number;
  /** Prompt tokens of the longest unfinished prefill, if the engine reports it. */
  readonly longestPrefillTokens?: number;
}
