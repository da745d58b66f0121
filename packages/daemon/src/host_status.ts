/** Status of one host, as operators read it; an unreachable one tells less. */
export interface HostStatus {
  readonly name: string;
  readonly incarnation: string;
  /** starting, serving, draining or unreachable. */
  readonly state: string;
  readonly failureDomain: string;
  readonly callers: string;
  readonly configuration?: {
    readonly base: number;
    readonly overlay: number;
    /** Time since the configuration service confirmed every value. */
    readonly ageMs: number;
  };
  readonly inFlight?: number;
  readonly queued?: number;
  readonly upMs?: number;
  readonly members?: readonly {
    readonly name: string;
    readonly incarnation: string;
    readonly state: string;
  }[];
  readonly upstreams?: readonly {
    readonly name: string;
    readonly kind: string;
    readonly serves: string;
    readonly address: string;
    readonly state: string;
    readonly inFlight: number;
  }[];
  /** Why the host could not be asked. */
  readonly error?: string;
}
