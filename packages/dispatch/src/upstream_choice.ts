import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {PrefillPlan} from './prefill_plan.js';

/** Upstreams selected for an attempt. */
export interface UpstreamChoice {
  /** Upstream that answers. */
  readonly upstream: UpstreamEntry;
  /** Further engines that prefill parts of the prompt. */
  readonly helpers: readonly UpstreamEntry[];
  /** Absent for plain calls. */
  readonly plan?: PrefillPlan;
}
