import type {RequestFacts} from './request_metadata.js';

/** A caller's request, read whole. */
export interface ReceivedRequest {
  readonly facts: RequestFacts;
  /** Names and values by turns, as received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic time at which its head came. */
  readonly receivedAtMs: number;
}
