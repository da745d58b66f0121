/** A value in a document. */
export interface LocatedValue {
  /** JSON pointer. */
  readonly path: string;
  readonly value: unknown;
}
