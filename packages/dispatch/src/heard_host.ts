/** A host of the site as it was last heard from. */
export interface HeardHost {
  /** IP:port for peer traffic; the same as seen from every host. */
  readonly address: string;
  readonly heardAtMs: number;
  /** Whether it has said that it stops. */
  readonly isStopping: boolean;
  /** Number of hosts that it knows; 0 if it does not tell. */
  readonly knownHosts: number;
}
