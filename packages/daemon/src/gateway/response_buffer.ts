import {MAX_RESPONSE_BYTES} from '../upstreams/max_response_bytes.js';

/** Buffers a response that is not streamed until it is complete. */
export class ResponseBuffer {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  /** Set when the response is too large. */
  get fault(): string | undefined {
    if (this.bytes <= MAX_RESPONSE_BYTES) return undefined;
    return `response body exceeds ${MAX_RESPONSE_BYTES} bytes`;
  }

  append(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
  }

  join(): Buffer {
    return Buffer.concat(this.chunks);
  }
}
