/** Reports about an upstream that hosts exchange. */
export enum UpstreamNews {
  /** The upstream accepts no new work. */
  LEAVING = 'leaving',
  /** A call failed because of the upstream. */
  FAILED = 'failed',
}
