import type {OrderFormation} from '@parsleywood/schema/orders';

/** Permission to vote in a view, with the period that the claim records cover. */
export interface Activation {
  /**
   * Wall-clock time from which the claim records are complete, in milliseconds:
   * claims on keys first used earlier may be missing.
   */
  readonly memoryFromMs: number;
  /** Set if the view was formed by hosts that all started without records. */
  readonly formation?: OrderFormation;
}
