import type {Socket} from 'node:net';
import {errors} from 'undici';
import {ResponseError} from './response_error.js';
import {StatusLineScanner} from './status_line_scanner.js';

/** Code of a failed write to a connection that the upstream had closed in order. */
const CLOSED_CODE = 'EPIPE';
const RESET_CODE = 'ECONNRESET';

type Read = (bytes?: number) => Buffer | null;
type Emit = (event: string | symbol, ...values: unknown[]) => boolean;

/**
 * Checks what a parser does not: the status lines of responses, and, for a response that
 * lasts until its connection ends, whether it ended or was reset. In the latter, neither Node.js nor undici does: Node.js reports a reset that arrives with the last
 * bytes as `end`, and the error only by the next write; undici takes `end` for the end
 * of the response, and `ECONNRESET` as well.
 */
export class ResponseConnection {
  /** Whether the response in progress lasts until the connection ends. */
  endsResponse = false;
  private isEndHeld = false;
  private readonly scanner = new StatusLineScanner();

  /** Takes over a new connection before a parser listens to it. */
  attach(socket: Socket): void {
    this.expectResponse();
    this.isEndHeld = false;
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
      if (!this.endsResponse) return emit(event, ...values);
      if (event === 'end') return this.handleEnd(socket, emit);
      if (event === 'error') return this.handleError(values[0] as Error, emit);
      return emit(event, ...values);
    };
    socket.emit = checkedEmit;
  }

  /** What arrives next belongs to the response to a further request. */
  expectResponse(): void {
    this.endsResponse = false;
    this.scanner.start();
  }

  /** Whether the response in progress is one of HTTP/1.0. */
  get isHttp10(): boolean {
    return this.scanner.isHttp10;
  }

  private handleEnd(socket: Socket, emit: Emit): boolean {
    if (socket.writableLength > 0) {
      // If this is a reset, the write that is pending fails before the next phase of
      // the event loop.
      this.isEndHeld = true;
      setImmediate(() => {
        if (!socket.destroyed) this.releaseEnd(emit);
      });
      return true;
    }
    // Reveals a reset at once. HTTP servers ignore an empty line.
    socket.write('\r\n');
    const {errored} = socket;
    if (errored === null || isClosedInOrder(errored)) return emit('end');
    return true;
  }

  private handleError(error: Error, emit: Emit): boolean {
    const {code} = error as NodeJS.ErrnoException;
    if (code !== RESET_CODE) {
      if (isClosedInOrder(error)) this.releaseEnd(emit);
      return emit('error', error);
    }
    const message = 'connection reset before the end of the response';
    return emit('error', new errors.SocketError(message));
  }

  /** Passes on an end that was held back. */
  private releaseEnd(emit: Emit): void {
    if (!this.isEndHeld) return;
    this.isEndHeld = false;
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
