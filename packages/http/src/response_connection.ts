import type {Socket} from 'node:net';
import {errors} from 'undici';
import {ResponseError} from './response_error.js';
import {ResponseFraming} from './response_framing.js';
import {StatusLineScanner} from './status_line_scanner.js';

/** Code of a failed write to a connection that the upstream had closed in order. */
const CLOSED_CODE = 'EPIPE';
const RESET_CODE = 'ECONNRESET';

type Read = (bytes?: number) => Buffer | null;
type Emit = (event: string | symbol, ...values: unknown[]) => boolean;

/**
 * Checks what a parser does not: status lines, and whether a response that lasts until
 * its connection ends came to that end. Node.js reports a reset that arrives with the
 * last bytes as `end`, and the error only by the next write; undici takes `end` for the
 * end of the response, and `ECONNRESET` as well.
 */
export class ResponseConnection {
  private readonly scanner = new StatusLineScanner();
  /** Whether the response in progress lasts until the connection ends. */
  private lastsUntilEnd = false;
  private isEndHeld = false;
  private hasEnded = false;

  /** Takes over a new connection before a parser listens to it. */
  attach(socket: Socket): void {
    this.expectResponse();
    this.isEndHeld = false;
    this.hasEnded = false;
    const read = socket.read.bind(socket) as Read;
    const checkedRead: Read = size => {
      const bytes = read(size);
      if (bytes === null || this.scanner.accept(bytes)) return bytes;
      socket.destroy(new ResponseError('no status line of HTTP/1.1'));
      return null;
    };
    socket.read = checkedRead;
    const emit = socket.emit.bind(socket) as Emit;
    const checkedEmit: Emit = (event, ...values) => {
      if (!this.lastsUntilEnd) return emit(event, ...values);
      if (event === 'end') return this.handleEnd(socket, emit);
      if (event === 'error') return this.handleError(values[0] as Error, emit);
      return emit(event, ...values);
    };
    socket.emit = checkedEmit;
  }

  /** What arrives next is the response to a further request. */
  expectResponse(): void {
    this.lastsUntilEnd = false;
    this.scanner.start();
  }

  /** What arrives next is the body of the response. */
  expectBody(framing: ResponseFraming): void {
    this.lastsUntilEnd = framing === ResponseFraming.CONNECTION;
  }

  /** Whether the response in progress is one of HTTP/1.0. */
  get isHttp10(): boolean {
    return this.scanner.isHttp10;
  }

  private handleEnd(socket: Socket, emit: Emit): boolean {
    if (socket.writableLength > 0) {
      // If this is a reset, the pending write fails in this turn of the event loop.
      this.isEndHeld = true;
      setImmediate(() => {
        if (this.isEndHeld && !socket.destroyed) this.end(emit);
      });
      return true;
    }
    // Reveals a reset at once. HTTP servers ignore an empty line.
    socket.write('\r\n');
    const {errored} = socket;
    if (errored === null || isClosedInOrder(errored)) this.end(emit);
    return true;
  }

  private handleError(error: Error, emit: Emit): boolean {
    if (isClosedInOrder(error) && this.isEndHeld) this.end(emit);
    // Passed on, it would fail the requests that wait for a further connection.
    if (isClosedInOrder(error) && this.hasEnded) return true;
    if ((error as NodeJS.ErrnoException).code !== RESET_CODE) {
      return emit('error', error);
    }
    const message = 'connection reset before the end of the response';
    return emit('error', new errors.SocketError(message));
  }

  private end(emit: Emit): void {
    this.isEndHeld = false;
    this.hasEnded = true;
    emit('end');
  }
}

/**
 * Whether a write failed as the upstream, which had closed the connection, took no more.
 * Linux reports ECONNRESET instead where the connection was not closed before.
 */
function isClosedInOrder(error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === CLOSED_CODE;
}
