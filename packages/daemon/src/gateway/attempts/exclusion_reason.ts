/** Why a request may use none of the upstreams that accept others. */
export enum ExclusionReason {
  EVACUATED = 'all are in evacuated failure domains',
  HOME_REGIONS = 'none is in a home region',
}
