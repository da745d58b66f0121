import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {RawResponse} from './raw_response.js';

/** Server that answers with any bytes, whether they are a response or not. */
export class RawServer {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** @param answer Called for each connection, of which nothing has been read. */
  constructor(answer: (socket: Socket) => void) {
    const options = {allowHalfOpen: true, pauseOnConnect: true};
    this.server = createServer(options, socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      answer(socket);
    });
  }

  /** Creates a server that answers one request a connection. */
  static answering({bytes, isReset}: RawResponse): RawServer {
    return new RawServer(socket => {
      socket.once('data', () => {
        if (isReset) {
          socket.write(bytes, 'latin1');
          socket.resetAndDestroy();
        } else socket.end(bytes, 'latin1');
      });
      socket.resume();
    });
  }

  /** @return URL without a path. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
