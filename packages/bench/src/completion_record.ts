import type {CompletionResult} from './completion_result.js';

/** One completion of a caller load. */
export interface CompletionRecord {
  /** Monotonic time of sending, in milliseconds. */
  readonly sentAtMs: number;
  /** Text that a right answer has. */
  readonly expected: string;
  readonly result: CompletionResult;
}
