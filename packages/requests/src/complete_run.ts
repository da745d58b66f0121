/** Attempt of a request that ended with its whole answer. */
export interface CompleteRun {
  /** Monotonic time, in milliseconds. */
  readonly startedAtMs: number;
  readonly traits: ReadonlySet<string>;
}
