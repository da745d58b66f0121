import type {UpstreamEntry, UpstreamExclusion} from '@parsleywood/forwarding';

/** The upstreams of a service as a new request finds them. */
export interface ConsideredUpstreams {
  /** In the host's order of preference. */
  readonly candidates: readonly UpstreamEntry[];
  readonly excluded: readonly {
    readonly entry: UpstreamEntry;
    readonly reason: UpstreamExclusion;
  }[];
}
