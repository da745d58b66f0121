import {
  PlacementRegistry,
  UpstreamChooser,
  UpstreamHealth,
} from '@parsleywood/dispatch';
import {makePolicy} from './make_policy.js';
import type {PlacementPolicy} from './placement_policy.js';
import type {PolicyName} from './policy_name.js';

/** One host: the real decision classes, and what it believes. */
export class HostModel {
  readonly registry = new PlacementRegistry();
  readonly policy: PlacementPolicy;
  readonly chooser: UpstreamChooser;
  readonly health = new UpstreamHealth();

  constructor(name: string, policy: PolicyName) {
    this.chooser = new UpstreamChooser(
      name,
      'domain',
      this.registry,
      this.health,
    );
    this.policy = makePolicy(policy, this.chooser);
  }
}
