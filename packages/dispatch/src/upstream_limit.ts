/** Requests that an upstream takes from all hosts together, as it named them. */
export interface UpstreamLimit {
  readonly upstream: string;
  readonly perSecond: number;
  /** Monotonic start of the attempt that told it, in milliseconds. */
  readonly toldAtMs: number;
}
