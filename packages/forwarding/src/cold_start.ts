/** How the upstreams of a service behave after a start during traffic. */
export interface ColdStart {
  /** Time for which an upstream is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold upstream tolerates from all hosts together. */
  readonly requestsPerSecond: number;
}
