/** Why an upstream of a service receives no new request now. */
export enum UpstreamExclusion {
  /** Its entry says that it finishes its requests and accepts no new ones. */
  DRAINING = 'draining',
  /** It left, and a store that came back from a copy lists it again. */
  GONE = 'gone',
  /** It said in an answer that it leaves. */
  LEAVING = 'leaving',
  /** It is in none of the home regions of the request. */
  HOME_REGIONS = 'not in a home region',
  /** Its failure domain is evacuated. */
  EVACUATED = 'evacuated',
  /** It asked this host for a rest. */
  RESTING = 'resting',
  /** All hosts together have used up its limit. */
  OVER_LIMIT = 'over its limit',
  /** It is cold, and this host has used up its part of the rate. */
  COLD_OVER_RATE = 'cold, over the rate',
  /** It is cold, and other hosts send to it. */
  COLD_LEFT_TO_OTHERS = 'cold, left to other hosts',
  /** It is, or may be, cold, and this host does not know enough of the others yet. */
  COLD_SETTLING = 'cold, host is settling',
  /** It has just started or recovered, and holds as much as it may for now. */
  PACED = 'slow start',
  /** Its load is not known yet, and the prompt is very large. */
  NO_VIEW = 'load not known yet',
  /** It failed lately, and others of its service did not. */
  AVOIDED = 'avoided as failing',
  /** None of the above. */
  OTHER = 'not a candidate',
}
