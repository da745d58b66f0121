/** What happens to a site in one run on virtual time. */
export interface ColdHistory {
  readonly seed: number;
  readonly hosts: number;
  /** Requests a second that a cold upstream tolerates. */
  readonly perSecond: number;
  readonly faults: readonly {
    readonly kind: 'partition' | 'freeze' | 'restart' | 'stop' | 'join';
    readonly atMs: number;
    readonly forMs: number;
    /** Part of the hosts that are concerned. */
    readonly share: number;
  }[];
  /** Upstreams that become cold. */
  readonly colds: readonly {
    /** Whether it returns under a new id, or becomes cold under its old one. */
    readonly isNew: boolean;
    readonly upstream: number;
    readonly atMs: number;
    readonly forMs: number;
  }[];
}
