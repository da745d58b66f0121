/** Why a request may use none of the upstreams that accept others. */
export enum ExclusionReason {
  /** None is in a home region of the request. */
  HOME_REGIONS = 'home_regions',
  /** All in its home regions are in evacuated failure domains. */
  EVACUATED = 'evacuated',
}
