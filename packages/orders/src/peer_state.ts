/** What failure detection says about another host. */
export enum PeerState {
  REACHABLE = 'reachable',
  SUSPECTED = 'suspected',
  DEAD = 'dead',
}
