import type {
  CapacityShortage,
  PromptDemand,
  UpstreamChoice,
} from '@parsleywood/dispatch';
import type {Service, UpstreamEntry} from '@parsleywood/forwarding';

/** Chooses the engines of a prompt at one host. */
export interface PlacementPolicy {
  choose(
    candidates: readonly UpstreamEntry[],
    service: Service,
    demand: PromptDemand,
    nowMs: number,
  ): UpstreamChoice | CapacityShortage;
}
