/** What a soak test has found. */
export interface SoakReport {
  readonly seed: number;
  readonly completions: number;
  /** Completions answered whole. */
  readonly answered: number;
  readonly orders: number;
  /** Orders whose last answer was a success. */
  readonly placed: number;
  /** Orders that were not placed, by the last answer. */
  readonly notPlaced: Readonly<Record<string, number>>;
  /** Faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  /** What must not happen and did. */
  readonly violations: readonly string[];
}
