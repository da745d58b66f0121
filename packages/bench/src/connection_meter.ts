import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const CHANNEL = 'net.server.socket';

/** Counts the bytes, both ways, of connections to listeners of this process. */
export class ConnectionMeter {
  private readonly open = new Set<Socket>();
  private readonly closedBytes = new Map<number, number>();

  start(): void {
    subscribe(CHANNEL, this.onSocket);
  }

  stop(): void {
    unsubscribe(CHANNEL, this.onSocket);
  }

  /** Bytes on connections to some ports since the start. */
  readBytes(ports: ReadonlySet<number>): number {
    let bytes = 0;
    for (const port of ports) bytes += this.closedBytes.get(port) ?? 0;
    for (const socket of this.open) {
      if (ports.has(socket.localPort ?? 0)) bytes += countBytes(socket);
    }
    return bytes;
  }

  private readonly onSocket = (message: unknown): void => {
    const {socket} = message as {socket: Socket};
    const port = socket.localPort ?? 0;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      const before = this.closedBytes.get(port) ?? 0;
      this.closedBytes.set(port, before + countBytes(socket));
    });
  };
}

function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
