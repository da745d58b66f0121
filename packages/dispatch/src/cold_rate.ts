/** How all hosts together use a cold upstream. */
export interface ColdRate {
  /** Time for which it is cold after a start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second of all hosts. */
  readonly perSecond: number;
  /** Number of hosts among which these are divided. */
  readonly owners: number;
}
