import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {ReadPlan} from './read_plan.js';

/** Where an attempt goes. */
export interface UpstreamChoice {
  readonly upstream: UpstreamEntry;
  /** Engines that read parts of the prompt for it. */
  readonly helpers: readonly UpstreamEntry[];
  /** Absent for plain calls. */
  readonly plan?: ReadPlan;
}
