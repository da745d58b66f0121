/** State of a peer as reported by the failure detector. */
export enum PeerState {
  REACHABLE = 'reachable',
  SUSPECTED = 'suspected',
  DEAD = 'dead',
}
