import type {RequestMetadata} from './request_metadata.js';

/** A caller's request with its complete body. */
export interface ReceivedRequest {
  readonly metadata: RequestMetadata;
  /** Names and values alternating, as received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic time at which its headers were received. */
  readonly receivedAtMs: number;
}
