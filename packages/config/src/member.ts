/** A live host, with what the replication of configuration needs of it. */
export interface Member {
  /** Name of the host. */
  readonly host: string;
  readonly failureDomain: string;
}
