/** A running stand-in. */
export interface StandIn {
  /** IP number and port. */
  readonly address: string;
  readonly url: string;
  /** Ends it and closes all its connections. */
  close(): Promise<void>;
}
