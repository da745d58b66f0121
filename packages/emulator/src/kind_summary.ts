/** How the requests of one kind fared. */
export interface KindSummary {
  readonly kind: string;
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Time to the first event of half of those answered, in milliseconds. */
  readonly firstMedianMs: number;
}
