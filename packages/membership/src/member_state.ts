/** What a host holds of another host's incarnation. */
export enum MemberState {
  ALIVE = 'alive',
  /** Silent, or not heard of yet; may still be alive. */
  SUSPECTED = 'suspected',
  /** Alive or suspected, and takes no new work. */
  LEAVING = 'leaving',
  DEAD = 'dead',
}
