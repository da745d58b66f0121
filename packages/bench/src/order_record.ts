import type {CallResult} from './call_result.js';

/** One order of a caller load, with each of its sends. */
export interface OrderRecord {
  /** Monotonic time of the first send, in milliseconds. */
  readonly sentAtMs: number;
  readonly idempotencyKey: string;
  readonly answers: CallResult[];
}
