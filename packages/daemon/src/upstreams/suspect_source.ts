/** Where a change of a request's crash status comes from. */
export enum SuspectSource {
  /** An attempt of this host. */
  OWN = 'own',
  /** An update that another host sent when it learned of the change. */
  PEER = 'peer',
  /** A comparison with another host. */
  COMPARISON = 'comparison',
}
