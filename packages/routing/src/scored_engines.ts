/** The scores of one decision, summed up. */
export interface ScoredEngines {
  /** Least score; Infinity when no engine may be used. */
  readonly lowest: number;
  /** Monotonic time of the oldest report behind the scores; -Infinity without one. */
  readonly reportedMs: number;
}
