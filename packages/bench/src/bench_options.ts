/** What a bench is asked for. */
export interface BenchOptions {
  readonly seed: number;
  /** Number of repeated runs. */
  readonly repeats: number;
}
