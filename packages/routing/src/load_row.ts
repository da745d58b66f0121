/** Load of one engine as the table keeps it. */
export interface LoadRow {
  /** Prompt tokens queued as of the report. */
  readonly reportedTokens: number;
  readonly reportedAtMs: number;
  /** Least and most that may be left of the reported tokens now. */
  readonly minRemainingTokens: number;
  readonly maxRemainingTokens: number;
  /** Class of the longest reported prefill; -1 when there is none. */
  readonly longestClassIndex: number;
  /** Wait that longer prefills cost a shorter prompt at most, in tokens. */
  readonly longerWaitTokens: number;
  /** Wait that the rest of the load causes, in prompt tokens, by class. */
  readonly baseWaitTokens: readonly number[];
  readonly freeTokens: number;
  /** Monotonic time until which the engine gets no work; Infinity when leaving. */
  readonly blockedUntilMs: number;
}
