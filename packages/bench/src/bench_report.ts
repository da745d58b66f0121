/** What one bench reports, as printed with --json. */
export interface BenchReport {
  readonly name: string;
  /** Seeds of the repeated runs. */
  readonly seeds: readonly number[];
  /** Figures with their unit in the name, such as `addedMedianMs`. */
  readonly figures: Readonly<Record<string, number>>;
  /** The same figures of the baseline, measured in the same run. */
  readonly baseline: Readonly<Record<string, number>>;
  /** Stated bounds of figures; a figure is met when at or within its bound. */
  readonly targets: Readonly<Record<string, number>>;
  /** Whether each target is met. */
  readonly met: Readonly<Record<string, boolean>>;
}
