import {AttemptOutcome} from '@parsleywood/forwarding';
import {readFraming, ResponseFraming} from '@parsleywood/http';
import type {Dispatcher} from 'undici';
import {countLines} from '../../host/count_lines.js';
import type {ResponseListener} from '../attempts/response_listener.js';
import type {HeaderNames} from '../header_names.js';
import {readRateLimit} from './read_rate_limit.js';
import {readRestMs} from './read_rest_ms.js';
import {listEndToEndHeaders} from './list_end_to_end_headers.js';
import type {UpstreamConnection} from './upstream_connection.js';
import type {UpstreamConnectionPool} from './upstream_connection_pool.js';
import type {UpstreamRequest} from './upstream_request.js';

const MISDIRECTED_STATUS = 421;
const EVENT_STREAM = 'text/event-stream';
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/** One attempt to send a request to an upstream, with its response. */
export class UpstreamAttempt implements Dispatcher.DispatchHandler {
  private readonly connection: UpstreamConnection;
  private controller: Dispatcher.DispatchController | undefined;
  private hasBeenSent = false;
  private hasEnded = false;
  private isRefused = false;
  private isEventStream = false;

  /**
   * @param mayStillSend Asked once the connection is open, before anything is sent;
   *     otherwise the attempt ends as withdrawn.
   */
  constructor(
    private readonly request: UpstreamRequest,
    private readonly connectionPool: UpstreamConnectionPool,
    private readonly headerNames: HeaderNames,
    private readonly listener: ResponseListener,
    private readonly mayStillSend: () => boolean = () => true,
  ) {
    const {upstream, needsNewConnection} = request;
    this.connection = needsNewConnection
      ? connectionPool.open(upstream.address)
      : connectionPool.acquire(upstream.id, upstream.address, request.id);
  }

  /** Sends the request. The listener is called until the attempt ends. */
  start(): void {
    const {method, target, headers, body} = this.request;
    try {
      this.connection.client.dispatch(
        {
          path: target,
          method: method as Dispatcher.HttpMethod,
          headers: [...headers],
          body: body.length > 0 ? body : null,
        },
        this,
      );
    } catch (error) {
      this.finish(AttemptOutcome.NOT_SENT, String(error));
    }
  }

  /** Whether any of the request may have reached the upstream. */
  get wasSent(): boolean {
    return this.hasBeenSent;
  }

  /** Resets the connection, which upstreams treat as a cancellation. */
  cancel(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.connection.reset();
  }

  /** Whether the attempt has ended, or was cancelled. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** Whether the response is not read. */
  get isHeld(): boolean {
    return this.connection.reader.isHeld;
  }

  /** Stops reading the response, so that the upstream is held up as well. */
  hold(): void {
    // After its end the connection may carry another request.
    if (!this.hasEnded) this.connection.reader.hold();
  }

  /** Goes on after `hold`. */
  release(): void {
    this.connection.reader.release();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (!this.hasEnded && !this.mayStillSend()) {
      const detail = 'upstream was evacuated';
      this.hasEnded = true;
      controller.abort(new Error(detail));
      this.connection.close();
      this.listener.onEnd(AttemptOutcome.WITHDRAWN, detail);
      return;
    }
    this.hasBeenSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    const {headerNames, request, connection} = this;
    connection.reader.record(1);
    if (this.hasEnded || status < 200) return;
    this.isEventStream = isEventStream(headers['content-type']);
    const echoedId = headers[headerNames.requestId];
    const namedId = echoedId === undefined ? undefined : String(echoedId);
    this.isRefused =
      headers[headerNames.notRun] !== undefined ||
      status === MISDIRECTED_STATUS;
    if (!connection.isResponseTo(request.id, namedId, this.isRefused)) {
      this.isRefused = false;
      this.fail(
        AttemptOutcome.BROKEN,
        `response belongs to request ${namedId ?? '(unnamed)'}`,
      );
      return;
    }
    connection.recordResponse(
      request.id,
      namedId !== undefined,
      this.isRefused,
    );
    const retryAfter = headers['retry-after'];
    const restMs = readRestMs(status, retryAfter);
    const namedLimit = headers[headerNames.rateLimit];
    const rateLimit = readRateLimit(namedLimit);
    const isAccepted = this.listener.onHead({
      status,
      headers: listEndToEndHeaders(readRawHeaders(controller), NO_EXCLUSIONS),
      isEventStream: this.isEventStream,
      isNotRun: this.isRefused,
      endsWithConnection:
        readFraming(request.method, status, headers) ===
        ResponseFraming.CONNECTION,
      faultyAddress: String(headers[headerNames.faultyUpstream] ?? ''),
      rateLimit,
      unreadableRateLimit:
        rateLimit === undefined ? namedLimit?.toString() : undefined,
      restMs: restMs ?? 0,
      unreadableRest: restMs === undefined ? String(retryAfter) : undefined,
      isLeaving: headers[headerNames.leaving] === '1',
    });
    if (!isAccepted) this.fail(AttemptOutcome.BROKEN, 'response rejected');
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    const lines = this.isEventStream ? countLines(chunk) : 0;
    this.connection.reader.record(1 + lines);
    if (!this.hasEnded) this.listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.release();
    // The connection is free only after undici has left this callback.
    setImmediate(() => {
      this.connectionPool.release(this.request.upstream.id, this.connection);
    });
    const outcome = this.isRefused
      ? AttemptOutcome.REFUSED
      : AttemptOutcome.ANSWERED;
    this.listener.onEnd(outcome, '');
  }

  onResponseError(_controller: unknown, error: Error): void {
    const code = (error as NodeJS.ErrnoException).code ?? error.name;
    // A refusal that breaks off proves nothing, whatever its head says.
    this.finish(
      this.hasBeenSent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT,
      code,
    );
  }

  private fail(outcome: AttemptOutcome, detail: string): void {
    this.finish(outcome, detail);
    this.controller?.abort(new Error(detail));
  }

  private finish(outcome: AttemptOutcome, detail: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.connection.close();
    this.listener.onEnd(outcome, detail);
  }
}

/** Whether a content type is that of event streams, or is missing. */
function isEventStream(contentType: string | string[] | undefined): boolean {
  if (contentType === undefined) return true;
  return String(contentType).trim().toLowerCase().startsWith(EVENT_STREAM);
}

/** Reads the header names and values, alternating, as received. */
function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const rawHeaders = (controller as {rawHeaders?: (Buffer | string)[]})
    .rawHeaders;
  return (rawHeaders ?? []).map(one =>
    typeof one === 'string' ? one : one.toString('latin1'),
  );
}
