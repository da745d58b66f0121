import type {
  CapacityShortage,
  PromptDemand,
  UpstreamChoice,
} from '@parsleywood/dispatch';
import type {
  Service,
  UpstreamEntry,
  UpstreamExclusion,
} from '@parsleywood/forwarding';

/** Where a request would be placed now, and what was considered. */
export interface PlacementPreview {
  readonly service: Service | undefined;
  readonly demand: PromptDemand;
  readonly choice: UpstreamChoice | CapacityShortage;
  /** In the host's order of preference. */
  readonly candidates: readonly UpstreamEntry[];
  /** The other upstreams of the service. */
  readonly excluded: readonly {
    readonly upstream: UpstreamEntry;
    readonly exclusion: UpstreamExclusion;
  }[];
}
