import type {KindSummary} from './kind_summary.js';

/** The outcome of a pattern under one policy. */
export interface Emulation {
  readonly pattern: string;
  readonly policy: string;
  readonly seed: number;
  readonly kinds: readonly KindSummary[];
  /** Worth earned against the worth of all requests, 0 to 1. */
  readonly worth: number;
  /** The same in windows of two seconds. */
  readonly windows: readonly number[];
}
