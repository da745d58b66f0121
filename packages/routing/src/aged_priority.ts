/** A priority and how long it holds. */
export interface AgedPriority {
  readonly priority: number;
  /** Monotonic time at which the priority changes; Infinity when it stays. */
  readonly changesAtMs: number;
}
