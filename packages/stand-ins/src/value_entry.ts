/** One revision of a published value. */
export interface ValueEntry {
  readonly key: string;
  /** Grows with each change of any value. */
  readonly revision: number;
  readonly value: unknown;
}
