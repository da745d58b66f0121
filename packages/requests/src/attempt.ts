/** One attempt to run a request on one upstream. */
export interface Attempt {
  readonly id: string;
  readonly upstream: string;
  /** Monotonic time of the last event from the upstream, in milliseconds. */
  lastActivityAtMs: number;
}
