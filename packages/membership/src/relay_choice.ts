/** With which hosts a host of a large site exchanges news. */
export interface RelayChoice {
  /** Addresses of the hosts that need this host's news. */
  readonly relays: readonly string[];
  /** The one that passes on what others tell; absent at a relay itself. */
  readonly source?: string;
}
