import type {WantedEngine} from './desired_engine.js';

/** State wanted of all engines; equal on all hosts with equal fencing number. */
export interface PlacementPlan {
  readonly fencing: number;
  /** Engines of one model in the order in which they are changed. */
  readonly engines: readonly WantedEngine[];
  /** Rate of the weight store; absent: one load at a time. */
  readonly bytesPerSecond?: number;
  /** Engines of one model that load at once. */
  readonly loadsAtOnce: number;
  /** Time between two reads of an engine, in milliseconds. */
  readonly readBackMs: number;
}
