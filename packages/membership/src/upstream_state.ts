/** Usability of an upstream in one host's view. */
export enum UpstreamState {
  USABLE = 'usable',
  /** Being probed, one probe at a time; gets no work until a probe succeeds. */
  PROBING = 'probing',
  /** Failing: gets neither work nor probes until its backoff ends. */
  AVOIDED = 'avoided',
  /** Gets no new work; running work may finish. */
  LEAVING = 'leaving',
}
