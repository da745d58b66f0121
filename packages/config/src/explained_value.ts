import type {ValueSource} from './value_source.js';

/** One value of merged settings and where it comes from. */
export interface ExplainedValue {
  /** JSON pointer. */
  readonly path: string;
  /** The value, masked where it is a secret. */
  readonly value: unknown;
  readonly source: ValueSource;
}
