import type {ServerResponse} from 'node:http';
import {formatFailure, type Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';
import type {CompletionFormatter} from './completion_formatter.js';
import type {ResponseWriter} from './response_writer.js';
import type {ReplyHead} from './reply_head.js';
import {writeFailure} from './write_failure.js';

/** Time for which events after the first write are collected into one write. */
const FLUSH_DELAY_MS = 4;

/** Writes an answer as server-sent events. */
export class StreamingResponseWriter implements ResponseWriter {
  private pending = '';
  private hasSentText = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly formatter: CompletionFormatter,
    private readonly requestId: string,
    private readonly headers: ReplyHead,
    private readonly includeUsage: boolean,
  ) {}

  emit(text: string): void {
    this.open();
    this.appendEvent(this.formatter.formatText(text));
  }

  finish(finish: FinishReason, usage: Usage): void {
    this.open();
    this.appendEvent(this.formatter.formatFinish(finish));
    if (this.includeUsage) this.appendEvent(this.formatter.formatUsage(usage));
    this.appendEvent('[DONE]');
    this.end();
  }

  /**
   * Sends an error status if the headers are not yet sent, otherwise an error
   * event.
   */
  fail(failure: Failure): void {
    if (!this.response.headersSent) {
      writeFailure(this.response, failure, this.requestId, this.headers);
      return;
    }
    this.appendEvent(JSON.stringify(formatFailure(failure, this.requestId)));
    this.end();
  }

  private open(): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(200, {
      ...this.headers,
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
    const opening = this.formatter.formatOpening();
    if (opening !== '') this.appendEvent(opening);
  }

  /**
   * Adds an event to the next write. The first write happens at the end of the
   * current task; later ones collect events for `FLUSH_DELAY_MS`.
   */
  private appendEvent(data: string): void {
    if (this.pending === '') this.scheduleFlush();
    this.pending += `data: ${data}\n\n`;
  }

  private scheduleFlush(): void {
    const flush = (): void => {
      this.flush();
    };
    if (this.hasSentText) setTimeout(flush, FLUSH_DELAY_MS);
    else queueMicrotask(flush);
  }

  private flush(): void {
    if (this.pending === '' || this.response.writableEnded) return;
    this.response.write(this.pending);
    this.pending = '';
    this.hasSentText = true;
  }

  private end(): void {
    const rest = this.pending;
    this.pending = '';
    this.response.end(rest);
  }
}
