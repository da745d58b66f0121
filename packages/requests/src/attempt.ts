/** One try of a request at one upstream. */
export interface Attempt {
  readonly id: string;
  readonly upstream: string;
  /** Monotonic time of the last sign of work, in milliseconds. */
  aliveAtMs: number;
}
