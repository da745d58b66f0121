import type {
  CapacityShortage,
  PromptDemand,
  UpstreamChoice,
  UpstreamChooser,
} from '@parsleywood/dispatch';
import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import type {PlacementPolicy} from './placement_policy.js';

/** The policy in force. */
export class PlannedReads implements PlacementPolicy {
  constructor(private readonly chooser: UpstreamChooser) {}

  choose(
    candidates: readonly UpstreamEntry[],
    service: Service,
    demand: PromptDemand,
    nowMs: number,
  ): UpstreamChoice | CapacityShortage {
    return this.chooser.chooseEngines(candidates, service, demand, nowMs);
  }
}
