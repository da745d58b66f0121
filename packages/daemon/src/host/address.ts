/** IP address and port that a listener binds to. */
export interface Address {
  /** IPv4 or IPv6 address, without brackets. */
  readonly host: string;
  readonly port: number;
}
