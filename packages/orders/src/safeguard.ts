/** Parts of the protocol that a test can leave out to show what they prevent. */
export enum Safeguard {
  /** A vote of an incarnation known to be over does not count. */
  CRASH_VECTORS = 'crash_vectors',
  /** A restarted witness recovers the known claims before it votes. */
  RECOVERY = 'recovery',
  /** Claims known by recovery or from older views hinder votes for others. */
  KNOWN_CLAIMS = 'markers',
  /** A witness votes in a newer view only once the older ones are closed. */
  VIEW_CLOSURE = 'view_closure',
  /** A key older than the witness's memory gets no vote. */
  KEY_AGE = 'key_age',
  /** A claim that was proved never to run is never dispatched. */
  ABANDONMENT = 'abandonment',
}
