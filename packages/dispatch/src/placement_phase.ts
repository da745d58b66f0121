/** Progress of a placement at its upstreams. */
export enum PlacementPhase {
  /** Before the first event: queued or in prefill; a plain call is queued or runs. */
  PREFILL = 'prefill',
  /** Events of the answer are arriving. */
  DECODE = 'decode',
}
