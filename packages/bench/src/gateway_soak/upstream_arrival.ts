/** A request that reached an upstream. */
export interface UpstreamArrival {
  readonly id: string;
  /** Gateway by whose path it came. */
  readonly gateway: number;
  readonly atMs: number;
}
