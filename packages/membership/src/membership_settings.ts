/** Timing of failure detection, in milliseconds. */
export interface MembershipSettings {
  readonly probeIntervalMs: number;
  /** Time without an answer after which a host is suspected. */
  readonly suspectAfterMs: number;
  /** Time without an answer after which a suspected host is declared dead. */
  readonly deadAfterMs: number;
}
