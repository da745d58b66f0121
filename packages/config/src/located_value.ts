/** A value with its place in a JSON document. */
export interface LocatedValue {
  /** JSON pointer. */
  readonly path: string;
  readonly value: unknown;
}
