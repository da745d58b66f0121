import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  formatFailure,
  type Failure,
} from '@parsleywood/errors';
import type {ResponseHead} from './response_head.js';

/** Maximum number of unsent bytes for a caller that reads too slowly. */
const MAX_UNSENT_BYTES = 4_194_304;
const MS_PER_SECOND = 1_000;

/** Writes the response to one caller. */
export class ResponseWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly requestIdHeader: string,
  ) {}

  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Asks the caller to close the connection after this response. */
  closeConnectionAfter(): void {
    if (!this.response.headersSent) {
      this.response.setHeader('Connection', 'close');
    }
  }

  start(head: ResponseHead): void {
    const ownHeaders = this.response.getHeaders();
    const headers = [...head.headers];
    for (const [name, value] of Object.entries(ownHeaders)) {
      headers.push(name, String(value));
    }
    this.response.writeHead(head.status, headers);
    this.response.flushHeaders();
  }

  /** Sends a complete response. */
  send(head: ResponseHead, body: Buffer): void {
    const headers = dropContentLength(head.headers);
    this.start({
      ...head,
      headers: [...headers, 'Content-Length', String(body.length)],
    });
    this.response.end(body);
  }

  write(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.response.write(chunk);
    if (this.response.writableLength > MAX_UNSENT_BYTES) this.abort();
  }

  end(): void {
    this.response.end();
  }

  /**
   * Closes the connection, so that the caller does not take the response for
   * complete.
   */
  abort(): void {
    this.response.destroy();
  }

  /** Sends an error response of this host, or ends a response that has begun. */
  fail(failure: Failure): void {
    if (this.hasStarted) {
      this.abort();
      return;
    }
    const body = Buffer.from(
      JSON.stringify(formatFailure(failure, this.requestId)),
    );
    const {retryAfterMs} = failure;
    if (retryAfterMs !== undefined) {
      const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(3);
      this.response.setHeader('Retry-After', seconds);
    }
    if (this.requestId !== '') {
      this.response.setHeader(this.requestIdHeader, this.requestId);
    }
    this.response.writeHead(ERROR_RESPONSES[failure.kind].status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    this.response.end(body);
  }
}

function dropContentLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
