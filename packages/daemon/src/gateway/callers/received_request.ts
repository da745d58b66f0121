import type {BodyLease} from './body_lease.js';
import type {RequestMetadata} from './request_metadata.js';

/** A caller's request with its complete body. */
export interface ReceivedRequest {
  readonly metadata: RequestMetadata;
  /** Names and values alternating, as received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Keeps the bytes of the body beyond the end of the request. */
  readonly lease?: BodyLease;
  /** Monotonic time at which its headers were received. */
  readonly receivedAtMs: number;
}
