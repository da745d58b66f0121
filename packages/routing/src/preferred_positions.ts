/** Positions that one host prefers among equals: each count-th, from rank on. */
export interface PreferredPositions {
  readonly rank: number;
  /** Number of hosts that share the engines. */
  readonly count: number;
}
