import type {ServerResponse} from 'node:http';
import {formatFailure, type Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';
import type {AnswerShape} from './answer_shape.js';
import type {Delivery} from './delivery.js';
import type {ReplyHead} from './reply_head.js';
import {writeFailure} from './write_failure.js';

/** Time for which text after the first is collected into one write. */
const COLLECT_MS = 4;

/** Passes an answer on as server-sent events. */
export class StreamDelivery implements Delivery {
  private pending = '';
  private hasSentText = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: AnswerShape,
    private readonly requestId: string,
    private readonly head: ReplyHead,
    private readonly includeUsage: boolean,
  ) {}

  emit(text: string): void {
    this.open();
    this.append(this.shape.formatText(text));
  }

  finish(finish: FinishReason, usage: Usage): void {
    this.open();
    this.append(this.shape.formatFinish(finish));
    if (this.includeUsage) this.append(this.shape.formatUsage(usage));
    this.append('[DONE]');
    this.end();
  }

  /** Answers with a status before the first text, with an event after it. */
  fail(failure: Failure): void {
    if (!this.response.headersSent) {
      writeFailure(this.response, failure, this.requestId, this.head);
      return;
    }
    this.append(JSON.stringify(formatFailure(failure, this.requestId)));
    this.end();
  }

  private open(): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(200, {
      ...this.head,
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
    const opening = this.shape.formatOpening();
    if (opening !== '') this.append(opening);
  }

  /** Sends the first text at once, and later text together with what follows. */
  private append(data: string): void {
    if (this.pending === '') this.flushSoon();
    this.pending += `data: ${data}\n\n`;
  }

  private flushSoon(): void {
    const flush = (): void => {
      this.flush();
    };
    if (this.hasSentText) setTimeout(flush, COLLECT_MS);
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
