/** One host as it describes itself, or as unreachable. */
export interface HostStatus {
  readonly name: string;
  readonly incarnation: string;
  /** `starting`, `serving`, `draining` or `unreachable`. */
  readonly state: string;
  readonly failureDomain: string;
  /** IP:port for callers. */
  readonly callers: string;
  readonly configuration?: {
    readonly base: number;
    readonly overlay: number;
    readonly ageMs: number;
  };
  readonly inFlight?: number;
  readonly queued?: number;
  readonly upMs?: number;
  /** The other hosts as this one sees them. */
  readonly members?: readonly {
    readonly name: string;
    readonly incarnation: string;
    readonly state: string;
  }[];
  /** The upstreams as this host sees them. */
  readonly upstreams?: readonly {
    readonly name: string;
    readonly kind: string;
    readonly serves: string;
    readonly address: string;
    readonly state: string;
    readonly inFlight: number;
  }[];
  /** Why an unreachable host could not be asked. */
  readonly error?: string;
}
