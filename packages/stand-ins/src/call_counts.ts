/** Calls that the platform has had. */
export interface CallCounts {
  /** Reads of a value, answered or not. */
  readonly reads: number;
  /** Reads that waited for a change. */
  readonly watches: number;
  /** Reads refused for their rate. */
  readonly refused: number;
  /** Most reads, waiting ones included, within one second. */
  readonly maxPerSecond: number;
  /** Reads by key. */
  readonly byKey: Readonly<Record<string, number>>;
}
