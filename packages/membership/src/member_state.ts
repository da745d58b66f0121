/** State of another host's incarnation in this host's view. */
export enum MemberState {
  ALIVE = 'alive',
  /** Does not answer probes, or has not been in contact yet; may be alive. */
  SUSPECTED = 'suspected',
  /** Alive or suspected, and accepts no new work. */
  LEAVING = 'leaving',
  DEAD = 'dead',
}
