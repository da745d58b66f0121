/** Load of one engine, as stored in the load table. */
export interface LoadRow {
  /** Prompt tokens queued at the time of the report. */
  readonly reportedTokens: number;
  readonly reportedAtMs: number;
  /** Bounds on how many of the reported tokens can still be queued now. */
  readonly minRemainingTokens: number;
  readonly maxRemainingTokens: number;
  /**
   * Length class index of the longest reported prefill; -1 when there is none.
   */
  readonly longestClassIndex: number;
  /**
   * Maximum wait that longer prefills cause for a shorter prompt, in tokens.
   */
  readonly longerWaitTokens: number;
  /**
   * Wait that decode and unreported prefills cause, by class, in prompt tokens.
   */
  readonly baseWaitTokens: readonly number[];
  readonly freeTokens: number;
  /**
   * Monotonic time until which the engine gets no new requests; Infinity when
   * it is leaving.
   */
  readonly blockedUntilMs: number;
}
