import {PieceBuffer} from '@parsleywood/forwarding';
import {MAX_RESPONSE_BYTES} from '../upstreams/max_response_bytes.js';

/** Buffers a response that is not streamed until it is complete. */
export class ResponseBuffer {
  private readonly received = new PieceBuffer();

  /** Set when the response is too large. */
  get fault(): string | undefined {
    if (this.received.length <= MAX_RESPONSE_BYTES) return undefined;
    return `response body exceeds ${MAX_RESPONSE_BYTES} bytes`;
  }

  append(chunk: Buffer): void {
    this.received.append(chunk);
  }

  join(): Buffer {
    return this.received.join();
  }
}
