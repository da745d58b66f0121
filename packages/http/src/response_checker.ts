import type {IncomingHttpHeaders} from 'node:http';
import type {Duplex} from 'node:stream';
import {DecoratorHandler, type Dispatcher} from 'undici';
import {readFraming} from './read_framing.js';
import type {ResponseConnection} from './response_connection.js';
import {ResponseError} from './response_error.js';
import {ResponseFraming} from './response_framing.js';

/**
 * Passes on the final response to one request, unless its framing is faulty, and tells
 * the connection where its body ends.
 */
export class ResponseChecker implements Dispatcher.DispatchHandler {
  private readonly next: Dispatcher.DispatchHandler;

  constructor(
    private readonly method: string,
    private readonly connection: ResponseConnection,
    handler: Dispatcher.DispatchHandler,
  ) {
    this.next = new DecoratorHandler(handler);
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.connection.expectResponse();
    this.next.onRequestStart?.(controller, context);
  }

  onRequestUpgrade(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    socket: Duplex,
  ): void {
    this.next.onRequestUpgrade?.(controller, status, headers, socket);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    // Nobody reads interim responses, and undici's handlers take one response only.
    if (status < 200) return;
    const {method, connection} = this;
    const framing = readFraming(method, status, headers);
    const hasOldCoding =
      framing === ResponseFraming.CHUNKS && connection.isHttp10;
    if (framing === ResponseFraming.FAULTY || hasOldCoding) {
      controller.abort(new ResponseError('framing of the response is faulty'));
      return;
    }
    connection.expectBody(framing);
    this.next.onResponseStart?.(controller, status, headers, statusMessage);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.next.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    this.next.onResponseEnd?.(controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.next.onResponseError?.(controller, error);
  }
}
