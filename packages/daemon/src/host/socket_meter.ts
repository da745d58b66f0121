import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const CHANNEL = 'net.server.socket';

/** Counts the bytes of all connections that one local port accepted. */
export class SocketMeter {
  private readonly open = new Set<Socket>();
  private closedRead = 0;
  private closedWritten = 0;

  constructor(private readonly port: number) {}

  start(): void {
    subscribe(CHANNEL, this.onSocket);
  }

  stop(): void {
    unsubscribe(CHANNEL, this.onSocket);
  }

  /** Bytes read since the start. */
  readBytes(): number {
    const reads = [...this.open].map(socket => socket.bytesRead);
    return reads.reduce((sum, bytes) => sum + bytes, this.closedRead);
  }

  /** Bytes written since the start. */
  writtenBytes(): number {
    const writes = [...this.open].map(socket => socket.bytesWritten);
    return writes.reduce((sum, bytes) => sum + bytes, this.closedWritten);
  }

  private readonly onSocket = (message: unknown): void => {
    const {socket} = message as {socket: Socket};
    if (socket.localPort !== this.port) return;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedRead += socket.bytesRead;
      this.closedWritten += socket.bytesWritten;
    });
  };
}
