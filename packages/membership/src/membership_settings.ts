/** Times of failure detection, in milliseconds. */
export interface MembershipSettings {
  readonly probeIntervalMs: number;
  /** Silence after which a host is suspected. */
  readonly suspectAfterMs: number;
  /** Silence after which a suspected host is declared dead. */
  readonly deadAfterMs: number;
}
