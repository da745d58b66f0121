/** How one host may use an upstream. */
export enum UpstreamState {
  USABLE = 'usable',
  /** Unknown or returned: one probe at a time, no work yet. */
  PROBING = 'probing',
  /** Failing: neither work nor probes until its backoff is over. */
  AVOIDED = 'avoided',
  /** Takes no new work; what runs there may end. */
  LEAVING = 'leaving',
}
