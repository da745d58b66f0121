/** Parts of prompts that explain the crashes of several upstreams. */
export interface TraitSuspicion {
  /**
   * Sorted. Several parts that occurred only together: prompts that have all of
   * them are suspected.
   */
  readonly parts: readonly string[];
  /** Number of crashes that the parts explain. */
  readonly crashes: number;
  /**
   * Whether nothing else explains the crashes, and one of them came of an attempt
   * that was started after another one, so that they do not tell of one outage.
   */
  readonly isConfirmed: boolean;
  /** Whether all other parts that ran in one of the crashes are known to be sound. */
  readonly isProven: boolean;
}
