/** Result of a choice that found no upstream with capacity. */
export interface CapacityShortage {
  /** Expected time until capacity is free; 0 or below when unknown. */
  readonly waitMs: number;
  /** Whether upstreams were left out as they have just started or recovered. */
  readonly isPaced?: boolean;
}
