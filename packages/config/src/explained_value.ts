import type {ValueSource} from './value_source.js';

/** One value of the merged settings with its source. */
export interface ExplainedValue {
  /** JSON pointer. */
  readonly path: string;
  /** The value; secrets are masked. */
  readonly value: unknown;
  readonly source: ValueSource;
}
