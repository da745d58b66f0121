import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** Longest wait for a connection: hosts and upstreams are milliseconds apart. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle time after which a connection is closed where the upstream states none. */
const IDLE_CONNECTION_MS = 4_000;
/** Interval of keep-alive probes that show a connection that went silent. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** One connection to an upstream, which carries one request at a time. */
export class UpstreamConnection {
  readonly client: Client;
  /** Monotonic time since which it is idle. */
  idleSinceMs = 0;
  private socket: Socket | undefined;

  constructor(address: string) {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
      allowHalfOpen: true,
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      connect: (options, done) => {
        connect(options, (...result) => {
          const [error, socket] = result;
          if (error === null) this.socket = socket as Socket;
          done(...result);
        });
      },
    });
  }

  /** Whether the connection is open and may carry another request. */
  get isOpen(): boolean {
    const {socket} = this;
    return socket !== undefined && !socket.destroyed && socket.errored === null;
  }

  /**
   * Whether the connection broke rather than ended. Node reports a reset that
   * comes with the last bytes as an end; only a write shows which it was. An
   * empty line is nothing to an HTTP server.
   */
  isBroken(): boolean {
    const {socket} = this;
    if (socket === undefined) return true;
    if (socket.readableEnded && socket.writable) socket.write('\r\n');
    return socket.errored !== null;
  }

  close(): void {
    void this.client.destroy();
  }
}
