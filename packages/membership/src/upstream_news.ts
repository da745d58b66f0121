/** What hosts tell each other of an upstream. */
export enum UpstreamNews {
  /** It takes no new work. */
  LEAVING = 'leaving',
  /** A call failed for a fault of the upstream. */
  FAILED = 'failed',
}
