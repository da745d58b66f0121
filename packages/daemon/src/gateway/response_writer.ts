import type {ServerResponse} from 'node:http';
import {ANSWERS, formatFailure, type Failure} from '@parsleywood/errors';
import type {AnswerHead} from './response_head.js';

/** Most bytes that wait for a caller who does not read. */
const MAX_WAITING_BYTES = 4_194_304;
const MS_PER_SECOND = 1_000;

/** The answer to one caller. */
export class CallerReply {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly requestIdHeader: string,
  ) {}

  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Tells the caller to use another connection for what follows. */
  closeAfterwards(): void {
    if (!this.response.headersSent) {
      this.response.setHeader('Connection', 'close');
    }
  }

  start(head: AnswerHead): void {
    const own = this.response.getHeaders();
    const headers = [...head.headers];
    for (const [name, value] of Object.entries(own)) {
      headers.push(name, String(value));
    }
    this.response.writeHead(head.status, headers);
    this.response.flushHeaders();
  }

  /** Sends a whole answer. */
  send(head: AnswerHead, body: Buffer): void {
    const headers = withoutLength(head.headers);
    this.start({
      ...head,
      headers: [...headers, 'Content-Length', String(body.length)],
    });
    this.response.end(body);
  }

  write(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.response.write(chunk);
    if (this.response.writableLength > MAX_WAITING_BYTES) this.abort();
  }

  end(): void {
    this.response.end();
  }

  /** Closes the connection, so that the answer does not look complete. */
  abort(): void {
    this.response.destroy();
  }

  /** Answers with a failure of this host. */
  fail(failure: Failure): void {
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
    this.response.writeHead(ANSWERS[failure.kind].status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    this.response.end(body);
  }
}

function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    kept.push(name, headers[at + 1] ?? '');
  }
  return kept;
}
