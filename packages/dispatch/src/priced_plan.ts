import type {PrefillPlan} from './prefill_plan.js';

/** A plan with what it costs, in tokens. */
export interface PricedPlan {
  readonly plan: PrefillPlan;
  /** Expected loss of this request and of those that it delays. */
  readonly lossTokens: number;
  /**
   * Cost of engine time, messages and a first writer. It hardly depends on the size
   * of the request, and decides between plans.
   */
  readonly overheadTokens: number;
}
