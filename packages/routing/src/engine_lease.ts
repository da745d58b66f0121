/** Memory asked of one engine. */
export interface EngineLease {
  readonly engine: string;
  /** Monotonic time at which the lease was last asked for. */
  askedMs: number;
  /** Monotonic time until which the engine surely holds the memory; undefined before it said so. */
  heldUntilMs?: number;
}
