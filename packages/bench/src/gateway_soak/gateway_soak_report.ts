/** What a soak of gateways has found. */
export interface GatewaySoakReport {
  readonly seed: number;
  readonly calls: number;
  /** Calls by status; 0 where a connection ended without an answer. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  /** Crashes of upstreams by a request. */
  readonly crashes: number;
  /** What must not happen and did. */
  readonly violations: readonly string[];
  /** Exceptions that no code of the gateways caught. */
  readonly exceptions: readonly string[];
  /** Gateways without upstreams that served less often than the others. */
  readonly unserved: readonly string[];
}
