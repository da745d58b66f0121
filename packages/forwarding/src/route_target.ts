/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the route's other targets; above 0. */
  readonly weight: number;
}
