import {AttemptEnd} from '@parsleywood/forwarding';
import type {Dispatcher} from 'undici';
import type {AttemptWatcher} from './response_listener.js';
import type {HeaderNames} from './header_names.js';
import {listEndToEndHeaders} from './list_end_to_end_headers.js';
import type {UpstreamConnection} from './upstream_connection.js';
import type {UpstreamConnections} from './upstream_connection_pool.js';
import type {UpstreamRequest} from './upstream_request.js';

const MISDIRECTED_STATUS = 421;
const NOTHING: ReadonlySet<string> = new Set();

/** One sending of a request to one upstream, and its answer. */
export class UpstreamAttempt implements Dispatcher.DispatchHandler {
  private readonly connection: UpstreamConnection;
  private controller: Dispatcher.DispatchController | undefined;
  private wasSent = false;
  private isOver = false;
  private isRefused = false;

  constructor(
    private readonly request: UpstreamRequest,
    private readonly connections: UpstreamConnections,
    private readonly names: HeaderNames,
    private readonly watcher: AttemptWatcher,
  ) {
    const {upstream} = request;
    this.connection = connections.acquire(upstream.id, upstream.address);
  }

  /** Sends the request; the watcher hears of it until its end. */
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
      this.finish(AttemptEnd.NOT_SENT, String(error));
    }
  }

  /** Closes the connection, which upstreams take as a cancel. */
  cancel(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.connection.close();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.wasSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.isOver || status < 200) return;
    const {names} = this;
    const echoed = headers[names.requestId];
    if (echoed !== undefined && echoed !== this.request.id) {
      this.fail(AttemptEnd.BROKEN, `answer of request ${String(echoed)}`);
      return;
    }
    this.isRefused =
      headers[names.notRun] !== undefined || status === MISDIRECTED_STATUS;
    const isPassedOn = this.watcher.onHead({
      status,
      headers: listEndToEndHeaders(readRaw(controller), NOTHING),
      isNotRun: this.isRefused,
      faultyAddress: String(headers[names.faultyUpstream] ?? ''),
    });
    if (!isPassedOn) this.fail(AttemptEnd.BROKEN, 'answer not accepted');
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    if (!this.isOver) this.watcher.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.isOver) return;
    if (this.connection.isBroken()) {
      // undici ends an answer without length when its connection is reset.
      this.finish(AttemptEnd.BROKEN, 'connection reset');
      return;
    }
    this.isOver = true;
    // The socket is free only after undici has left this callback.
    setImmediate(() => {
      this.connections.release(this.request.upstream.id, this.connection);
    });
    const end = this.isRefused ? AttemptEnd.REFUSED : AttemptEnd.ANSWERED;
    this.watcher.onEnd(end, '');
  }

  onResponseError(_controller: unknown, error: Error): void {
    const code = (error as NodeJS.ErrnoException).code ?? error.name;
    if (this.isRefused) this.finish(AttemptEnd.REFUSED, code);
    else {
      this.finish(this.wasSent ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, code);
    }
  }

  private fail(end: AttemptEnd, detail: string): void {
    this.finish(end, detail);
    this.controller?.abort(new Error(detail));
  }

  private finish(end: AttemptEnd, detail: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.connection.close();
    this.watcher.onEnd(end, detail);
  }
}

/** Names and values by turns, as received. */
function readRaw(controller: Dispatcher.DispatchController): string[] {
  const raw = (controller as {rawHeaders?: (Buffer | string)[]}).rawHeaders;
  return (raw ?? []).map(one =>
    typeof one === 'string' ? one : one.toString('latin1'),
  );
}
