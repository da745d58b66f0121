import type {DesiredEngine} from './desired_engine.js';

/** Desired state of all engines. Plans with equal fencing tokens are equal. */
export interface PlacementPlan {
  readonly fencing: number;
  /** Engines of all models; those of one model are changed in this order. */
  readonly engines: readonly DesiredEngine[];
  /**
   * Rate of the weight store, shared by all hosts. If absent, one host starts
   * all loads, one at a time.
   */
  readonly bytesPerSecond?: number;
  /** Maximum number of engines of one model that load at the same time. */
  readonly loadsAtOnce: number;
  /**
   * Time between two reads of an engine by the host of rank 0, in milliseconds.
   * A host of rank n waits n + 1 times as long.
   */
  readonly readBackMs: number;
}
