/** A service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the other targets of the route; above 0. */
  readonly weight: number;
}
