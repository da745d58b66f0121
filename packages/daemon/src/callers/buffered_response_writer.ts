import type {ServerResponse} from 'node:http';
import type {Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';
import type {CompletionFormatter} from './completion_formatter.js';
import type {ResponseWriter} from './response_writer.js';
import type {ReplyHead} from './reply_head.js';
import {writeFailure} from './write_failure.js';

/** Collects an answer and writes it as one JSON body. */
export class BufferedResponseWriter implements ResponseWriter {
  private readonly texts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly formatter: CompletionFormatter,
    private readonly requestId: string,
    private readonly headers: ReplyHead,
  ) {}

  emit(text: string): void {
    this.texts.push(text);
  }

  finish(finish: FinishReason, usage: Usage): void {
    if (this.response.destroyed) return;
    const body = this.formatter.formatComplete(
      this.texts.join(''),
      finish,
      usage,
    );
    this.response.writeHead(200, {
      ...this.headers,
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
    });
    this.response.end(body);
  }

  fail(failure: Failure): void {
    writeFailure(this.response, failure, this.requestId, this.headers);
  }
}
