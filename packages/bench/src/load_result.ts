/** What a load generator has measured. */
export interface LoadResult {
  /** Requests that were answered whole. */
  readonly answered: number;
  /** Requests that were not, by status or error. */
  readonly failures: Readonly<Record<string, number>>;
  /** Time to first token, in milliseconds. */
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  /** Whole answers a second. */
  readonly perSecond: number;
}
