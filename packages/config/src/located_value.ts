/** A value in a document. */
export interface ValueAt {
  /** JSON pointer. */
  readonly path: string;
  readonly value: unknown;
}
