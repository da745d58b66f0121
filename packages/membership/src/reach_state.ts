/** Whether a host reaches upstreams. */
export enum ReachState {
  /** Not tested since a host was last cut off. */
  UNKNOWN = 'unknown',
  REACHED = 'reached',
  /** No upstream that was tested accepts connections of the host, or answers on them. */
  CUT_OFF = 'cut_off',
}
