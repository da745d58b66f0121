import type {UpstreamChooser} from '@parsleywood/dispatch';
import type {PlacementPolicy} from './placement_policy.js';
import {PlannedReads} from './planned_reads.js';
import {PolicyName} from './policy_name.js';
import {SingleEngine} from './single_engine.js';

/** Makes one host's policy. */
export function makePolicy(
  name: PolicyName,
  chooser: UpstreamChooser,
): PlacementPolicy {
  switch (name) {
    case PolicyName.PLANNED:
    case PolicyName.PACED:
      return new PlannedReads(chooser);
    case PolicyName.LEAST_BEHIND:
      return new SingleEngine(chooser, ({backlogMs}) => backlogMs);
    case PolicyName.FEWEST:
      return new SingleEngine(
        chooser,
        ({usedSlots, prefillRequests}) => usedSlots + prefillRequests.length,
      );
  }
}
