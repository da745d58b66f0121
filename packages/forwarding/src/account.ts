/** A client account and the keys that show it. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank of its requests, 0 the highest; goes before the route's. */
  readonly priority?: number;
}
