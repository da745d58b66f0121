/** A ping that this host sent and that has not been acknowledged yet. */
export interface Probe {
  readonly id: number;
  readonly target: string;
  readonly sentMs: number;
  /** The peer that requested the ping and its probe id; absent for own pings. */
  readonly relay?: {readonly requester: string; readonly probeId: number};
  /** Whether peers were asked to ping the target as well. */
  indirectRequested: boolean;
  /** Whether a missing ack no longer counts as a failed round of the target. */
  closed: boolean;
}
