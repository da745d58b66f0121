import {StringDecoder} from 'node:string_decoder';
import {AttemptFault, FinishReason} from '@parsleywood/requests';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import type {AttemptListener} from './attempt_listener.js';
import {MAX_RESPONSE_BYTES} from './max_response_bytes.js';
import type {EngineError} from './engine_error.js';
import type {EngineEvent} from './engine_event.js';

/** Errors raised before a connection exists, so that nothing was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
/** Error kind of an engine that is shutting down and accepts no new work. */
const LEAVING_KIND = 'leaving';
/** Size limit of an engine's error body, in bytes. */
const MAX_ERROR_BYTES = 65_536;
/** Length limit of an event that is not complete, in characters. */
const MAX_EVENT_LENGTH = 1_048_576;

/**
 * Parses the response to one attempt: a stream of server-sent events with JSON
 * data. Comments in the stream are keep-alives.
 */
export class AttemptReader implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private isOver = false;
  private bytes = 0;
  private errorText = '';
  private readonly decoder = new StringDecoder('utf8');
  private readonly parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onError: ({type, message}) => {
      if (type === 'max-buffer-size-exceeded') this.breakOff(message);
    },
    onEvent: event => {
      this.handleEvent(event.data);
    },
    onComment: () => {
      if (!this.isOver) this.listener.onAlive(this.attempt);
    },
  });

  constructor(
    private readonly attempt: string,
    private readonly listener: AttemptListener,
    private readonly onFinished: () => void,
  ) {}

  /** Closes the connection; the listener is not called again. */
  abort(): void {
    this.isOver = true;
    this.controller?.abort(new Error('attempt cancelled'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isOver) controller.abort(new Error('attempt cancelled'));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
    if (statusCode === 200 && !this.isOver) this.listener.onAlive(this.attempt);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isOver) return;
    this.bytes += chunk.length;
    if (this.status !== 200) {
      this.errorText += chunk.toString('utf8', 0, MAX_ERROR_BYTES);
      if (this.bytes < MAX_ERROR_BYTES) return;
      this.reportRefusal();
      this.controller?.abort(new Error('the error body is too long'));
    } else if (this.bytes > MAX_RESPONSE_BYTES) {
      this.breakOff(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`);
    } else {
      this.parser.feed(this.decoder.write(chunk));
    }
  }

  onResponseEnd(): void {
    if (this.status === 200) {
      this.reportFault(
        AttemptFault.BROKEN,
        'the response ended before its last event',
      );
    } else {
      this.reportRefusal();
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as NodeJS.ErrnoException).code ?? '';
    const fault = CONNECT_ERROR_CODES.has(code)
      ? AttemptFault.UNREACHABLE
      : AttemptFault.BROKEN;
    this.reportFault(fault, code === '' ? error.name : code);
  }

  private reportRefusal(): void {
    const refusal = parseRefusal(this.errorText);
    this.reportFault(
      this.classifyRefusal(refusal),
      `${this.status} ${refusal.kind}`,
    );
  }

  /** Ends an attempt whose response cannot be used. */
  private breakOff(detail: string): void {
    this.reportFault(AttemptFault.BROKEN, detail);
    this.controller?.abort(new Error(detail));
  }

  /**
   * Classifies a response that is no success. It proves that the attempt did not run
   * only if it names it: an engine may fail while it runs the attempt, and a faulty
   * one may write the refusal of an earlier attempt once more.
   */
  private classifyRefusal({kind, attempt}: EngineError): AttemptFault {
    const isOther = attempt !== '' && attempt !== this.attempt;
    if (this.status === 400 && !isOther) return AttemptFault.INVALID;
    if (attempt !== this.attempt) return AttemptFault.BROKEN;
    return kind === LEAVING_KIND
      ? AttemptFault.SHUTTING_DOWN
      : AttemptFault.REFUSED;
  }

  private handleEvent(data: string): void {
    if (this.isOver) return;
    let event: EngineEvent;
    try {
      event = JSON.parse(data) as EngineEvent;
    } catch {
      this.breakOff('the event data is not valid JSON');
      return;
    }
    if (event.error !== undefined) {
      this.reportFault(AttemptFault.BROKEN, event.error.kind);
      this.controller?.abort(new Error('the engine reported an error'));
      return;
    }
    if (event.finish === undefined) {
      this.listener.onText(event.attempt, event.position, event.text ?? '');
      return;
    }
    const finish =
      event.finish === 'length' ? FinishReason.LENGTH : FinishReason.STOP;
    if (event.attempt === this.attempt) {
      this.isOver = true;
      this.onFinished();
    }
    this.listener.onEnd(event.attempt, event.position, finish, {
      promptTokens: event.usage?.promptTokens ?? 0,
      completionTokens: event.usage?.completionTokens ?? 0,
      cachedTokens: event.usage?.cachedTokens ?? 0,
    });
  }

  private reportFault(fault: AttemptFault, detail: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onFinished();
    this.listener.onFault(this.attempt, fault, detail);
  }
}

/** Reads an engine's error body. What it does not say is empty. */
function parseRefusal(text: string): EngineError {
  try {
    const {error} = JSON.parse(text) as {
      error?: {kind?: unknown; attempt?: unknown};
    };
    return {
      kind: String(error?.kind ?? ''),
      attempt: String(error?.attempt ?? ''),
    };
  } catch {
    return {kind: '', attempt: ''};
  }
}
