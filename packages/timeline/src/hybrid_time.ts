/** Time of a hybrid logical clock; orders by wallMs, then by counter. */
export interface HybridTime {
  /** Milliseconds since the epoch, below 2^48. */
  readonly wallMs: number;
  /** Order within one millisecond, below 2^16. */
  readonly counter: number;
}
