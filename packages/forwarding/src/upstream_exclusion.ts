/** Why an upstream of a service receives no new request now. */
export enum UpstreamExclusion {
  /** Its entry says that it finishes its requests and accepts no new ones. */
  DRAINING = 'draining',
  /** It left, and a store that came back from a copy lists it again. */
  GONE = 'gone',
  /** It said in an answer that it leaves. */
  LEAVING = 'leaving',
  /** It asked this host for a rest. */
  RESTING = 'resting',
  /** All hosts together have used up its limit. */
  OVER_LIMIT = 'over its limit',
  /** It failed lately, and others of its service did not. */
  AVOIDED = 'avoided as failing',
  /** None of the above. */
  OTHER = 'not a candidate',
}
