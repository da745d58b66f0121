/** The relays that a host of a large site uses. */
export interface RelayChoice {
  /** Addresses of the relays to which this host sends its own messages. */
  readonly relays: readonly string[];
  /** The relay that forwards messages of other hosts; absent on a relay. */
  readonly subscribedRelay?: string;
}
