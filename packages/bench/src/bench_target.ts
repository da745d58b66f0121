/** Stated bound of one figure. */
export interface BenchTarget {
  readonly atMost?: number;
  readonly atLeast?: number;
}
