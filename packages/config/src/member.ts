/** A live host as the ledger needs it. */
export interface Member {
  /** Name of the host. */
  readonly host: string;
  readonly failureDomain: string;
}
