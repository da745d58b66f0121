import {StringDecoder} from 'node:string_decoder';
import {AttemptFault, FinishReason} from '@parsleywood/requests';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import type {AttemptListener} from './attempt_listener.js';
import type {EngineEvent} from './engine_event.js';

const NOT_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
/** Kind of refusal by an engine that takes no new work. */
const LEAVING = 'leaving';
/** Longest part of an engine's error answer that is kept, in bytes. */
const MAX_ERROR_BYTES = 2_048;

/** Reads one engine answer: server-sent events with JSON data. */
export class AttemptReader implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private over = false;
  private errorText = '';
  private readonly decoder = new StringDecoder('utf8');
  private readonly parser = createParser({
    onEvent: event => {
      this.takeEvent(event.data);
    },
    onComment: () => {
      if (!this.over) this.listener.onAlive(this.attempt);
    },
  });

  constructor(
    private readonly attempt: string,
    private readonly listener: AttemptListener,
    private readonly forget: () => void,
  ) {}

  /** Closes the connection; the listener hears nothing more. */
  abort(): void {
    this.over = true;
    this.controller?.abort(new Error('attempt cancelled'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.over) controller.abort(new Error('attempt cancelled'));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
    if (statusCode === 200 && !this.over) this.listener.onAlive(this.attempt);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.over) return;
    if (this.status === 200) {
      this.parser.feed(this.decoder.write(chunk));
    } else if (this.errorText.length < MAX_ERROR_BYTES) {
      this.errorText += chunk.toString('utf8', 0, MAX_ERROR_BYTES);
    }
  }

  onResponseEnd(): void {
    if (this.status === 200) {
      this.fault(AttemptFault.BROKEN, 'answer ended without its last event');
    } else {
      const refusal = readRefusal(this.errorText);
      this.fault(this.classify(refusal), `${this.status} ${refusal}`);
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as NodeJS.ErrnoException).code ?? '';
    const fault = NOT_CONNECTED.has(code)
      ? AttemptFault.UNREACHABLE
      : AttemptFault.BROKEN;
    this.fault(fault, code === '' ? error.name : code);
  }

  private classify(refusal: string): AttemptFault {
    if (refusal === LEAVING) return AttemptFault.SHUTTING_DOWN;
    return this.status === 400 ? AttemptFault.INVALID : AttemptFault.REFUSED;
  }

  private takeEvent(data: string): void {
    if (this.over) return;
    let event: EngineEvent;
    try {
      event = JSON.parse(data) as EngineEvent;
    } catch {
      this.fault(AttemptFault.BROKEN, 'event is not JSON');
      this.controller?.abort(new Error('event is not JSON'));
      return;
    }
    if (event.error !== undefined) {
      this.fault(AttemptFault.BROKEN, event.error.kind);
      this.controller?.abort(new Error('engine ended the attempt'));
      return;
    }
    if (event.finish === undefined) {
      this.listener.onText(event.attempt, event.position, event.text ?? '');
      return;
    }
    const finish =
      event.finish === 'length' ? FinishReason.LENGTH : FinishReason.STOP;
    if (event.attempt === this.attempt) {
      this.over = true;
      this.forget();
    }
    this.listener.onEnd(event.attempt, event.position, finish, {
      promptTokens: event.usage?.promptTokens ?? 0,
      completionTokens: event.usage?.completionTokens ?? 0,
      cachedTokens: event.usage?.cachedTokens ?? 0,
    });
  }

  private fault(fault: AttemptFault, detail: string): void {
    if (this.over) return;
    this.over = true;
    this.forget();
    this.listener.onFault(this.attempt, fault, detail);
  }
}

/** Kind of an engine's refusal, as its error body names it. */
function readRefusal(text: string): string {
  try {
    const answer = JSON.parse(text) as {error?: {kind?: unknown}};
    return String(answer.error?.kind ?? '');
  } catch {
    return '';
  }
}
