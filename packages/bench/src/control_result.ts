import type {ControlPlan} from './control_plan.js';
import type {ControlSample} from './control_sample.js';

/** What control of one site costs a host. */
export interface ControlResult {
  readonly plan: ControlPlan;
  /** One for each quiet window. */
  readonly samples: readonly ControlSample[];
  /** Resident memory of each host after the last quiet window. */
  readonly residentMb: readonly number[];
  /** Processor time that one change of the base costs a host. */
  readonly changeProcessorMs: number;
  /** Bytes, both ways, that one change of the base costs a host. */
  readonly changeBytes: number;
}
