/** A client account and the API keys that identify it. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority of its requests, 0 the highest; overrides that of the route. */
  readonly priority?: number;
  /** Regions whose upstreams may run its requests; absent for any. */
  readonly homeRegions?: readonly string[];
}
