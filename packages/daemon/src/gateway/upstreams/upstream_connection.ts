import type {Socket} from 'node:net';
import {HttpClient} from '@parsleywood/http';
import {buildConnector} from 'undici';
import {handlePendingInput} from '../../host/handle_pending_input.js';
import type {SocketReader} from '../../host/socket_reader.js';

/**
 * Connect timeout; the round trip between hosts and upstreams is a few
 * milliseconds.
 */
const CONNECT_TIMEOUT_MS = 500;
/** Idle timeout of a connection when the upstream announces none. */
const IDLE_TIMEOUT_MS = 4_000;
/** Idle time before TCP keep-alive probes, which detect a dead connection. */
const KEEP_ALIVE_DELAY_MS = 1_000;
/** Refusals after which a connection is replaced, so that it remembers no more. */
const MAX_REFUSALS = 100;

/**
 * One connection to an upstream. It carries one request at a time. A faulty upstream
 * may write a response once more where that to a later request is due, so the
 * connection remembers what shows to which request a response belongs.
 */
export class UpstreamConnection {
  readonly client: HttpClient;
  /** Monotonic time at which the connection became idle. */
  idleSinceMs = 0;
  private socket: Socket | undefined;
  private responses = 0;
  private namesRequests = false;
  private readonly refusedIds = new Set<string>();

  constructor(
    address: string,
    readonly reader: SocketReader,
  ) {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
      allowHalfOpen: true,
    });
    this.client = new HttpClient(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (options, done) => {
        connect(options, (...result) => {
          const [error, socket] = result;
          if (error === null) void this.open(socket as Socket, done);
          else done(...result);
        });
      },
    });
  }

  /**
   * Whether a response belongs to a request.
   *
   * @param namedId Id of the request that the response names, if it names one.
   * @param isRefusal Whether it states that the request was not executed.
   */
  isResponseTo(
    requestId: string,
    namedId: string | undefined,
    isRefusal: boolean,
  ): boolean {
    if (namedId !== undefined) return namedId === requestId;
    if (this.namesRequests) return false;
    return !isRefusal || this.responses === 0;
  }

  /** Records a response that belongs to a request. */
  recordResponse(
    requestId: string,
    namesRequest: boolean,
    isRefusal: boolean,
  ): void {
    this.responses++;
    if (namesRequest) this.namesRequests = true;
    if (isRefusal) this.refusedIds.add(requestId);
  }

  /** Whether a request was refused here, so that the refusal may come once more. */
  hasRefused(requestId: string): boolean {
    return this.refusedIds.has(requestId);
  }

  /** Whether the connection is open and may carry another request. */
  get isOpen(): boolean {
    const {socket, refusedIds} = this;
    if (socket === undefined || refusedIds.size >= MAX_REFUSALS) return false;
    return !socket.destroyed && socket.errored === null;
  }

  close(): void {
    void this.client.destroy();
  }

  /**
   * Resets the connection. After a close the kernel would go on to send what the
   * upstream has not taken yet.
   */
  reset(): void {
    this.socket?.resetAndDestroy();
    this.close();
  }

  /** Uses a new connection, unless it is given up or closed just then. */
  private async open(
    socket: Socket,
    done: buildConnector.Callback,
  ): Promise<void> {
    await handlePendingInput();
    if (socket.destroyed || socket.readableEnded) {
      done(socket.errored ?? new Error('connection closed at once'), null);
      return;
    }
    this.socket = socket;
    this.reader.attach(socket);
    done(null, socket);
  }
}
