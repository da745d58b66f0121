import type {ResponseBuffer} from './response_buffer.js';
import type {ResponseHead} from '../upstreams/response_head.js';

/** What has arrived of the response to an attempt, beyond complete events. */
export interface ReceivedPart {
  readonly head: ResponseHead | undefined;
  readonly buffer: ResponseBuffer;
  /** Bytes of an event that is not complete. */
  readonly partialEvent: Buffer;
}
