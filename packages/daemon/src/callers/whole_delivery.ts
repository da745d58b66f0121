import type {ServerResponse} from 'node:http';
import type {Failure} from '@parsleywood/errors';
import type {FinishReason, Usage} from '@parsleywood/requests';
import type {AnswerShape} from './answer_shape.js';
import type {Delivery} from './delivery.js';
import type {ReplyHead} from './reply_head.js';
import {writeFailure} from './write_failure.js';

/** Passes an answer on in one piece. */
export class WholeDelivery implements Delivery {
  private readonly texts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: AnswerShape,
    private readonly requestId: string,
    private readonly head: ReplyHead,
  ) {}

  emit(text: string): void {
    this.texts.push(text);
  }

  finish(finish: FinishReason, usage: Usage): void {
    if (this.response.destroyed) return;
    const body = this.shape.formatWhole(this.texts.join(''), finish, usage);
    this.response.writeHead(200, {
      ...this.head,
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
    });
    this.response.end(body);
  }

  fail(failure: Failure): void {
    writeFailure(this.response, failure, this.requestId, this.head);
  }
}
