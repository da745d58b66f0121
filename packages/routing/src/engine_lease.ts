/** Lease on memory of one engine, requested or confirmed. */
export interface EngineLease {
  readonly engine: string;
  /** Monotonic time of the last request or renewal. */
  requestedAtMs: number;
  /**
   * Monotonic time until which the lease is certainly valid; undefined until the
   * engine confirms it.
   */
  heldUntilMs?: number;
}
