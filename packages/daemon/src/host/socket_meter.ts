import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const CHANNEL = 'net.server.socket';

/** Counts the bytes of all connections accepted on one local port. */
export class SocketMeter {
  private readonly openSockets = new Set<Socket>();
  private closedReadBytes = 0;
  private closedWrittenBytes = 0;

  constructor(private readonly port: number) {}

  start(): void {
    subscribe(CHANNEL, this.onSocket);
  }

  stop(): void {
    unsubscribe(CHANNEL, this.onSocket);
  }

  /** Bytes read since `start()`, including closed connections. */
  readBytes(): number {
    const reads = [...this.openSockets].map(socket => socket.bytesRead);
    return reads.reduce((sum, bytes) => sum + bytes, this.closedReadBytes);
  }

  /** Bytes written since `start()`, including closed connections. */
  writtenBytes(): number {
    const writes = [...this.openSockets].map(socket => socket.bytesWritten);
    return writes.reduce((sum, bytes) => sum + bytes, this.closedWrittenBytes);
  }

  private readonly onSocket = (message: unknown): void => {
    const {socket} = message as {socket: Socket};
    if (socket.localPort !== this.port) return;
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedReadBytes += socket.bytesRead;
      this.closedWrittenBytes += socket.bytesWritten;
    });
  };
}
