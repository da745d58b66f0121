/** Kinds of failed calls to the configuration store. */
export enum SiteSourceErrorKind {
  /** The store no longer keeps the changes after the requested revision. */
  HISTORY_LOST = 'history_lost',
  /** The store rejected the call because of its rate limit. */
  RATE_LIMITED = 'rate_limited',
  /** The store refused the call, failed, or did not respond in time. */
  UNAVAILABLE = 'unavailable',
}
