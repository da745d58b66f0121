/** What completions are checked against. */
export interface CompletionBounds {
  /** Time limit of each request, in milliseconds. */
  readonly limitMs: number;
  /** Longest pause of a host, in milliseconds. */
  readonly longestPauseMs: number;
  /** Monotonic times at which hosts were killed, in milliseconds. */
  readonly killsAtMs: readonly number[];
}
