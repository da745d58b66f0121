/** Parts of the protocol that a test can disable to show what they prevent. */
export enum Safeguard {
  /** Votes of an incarnation that is known to have ended do not count. */
  CRASH_VECTORS = 'crash_vectors',
  /** A restarted witness recovers the claim records before it votes. */
  RECOVERY = 'recovery',
  /**
   * A witness refuses a claim if it knows a claim of another issuer, learned
   * from a peer or in an older view.
   */
  KNOWN_CLAIMS = 'known_claims',
  /** A witness votes in a newer view only after the older ones are closed. */
  VIEW_CLOSURE = 'view_closure',
  /** A witness does not vote for keys older than its claim records. */
  KEY_AGE = 'key_age',
  /** A claim whose callers were told that it never runs is not dispatched. */
  ABANDONMENT = 'abandonment',
}
