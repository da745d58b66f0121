import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionBounds} from '@parsleywood/forwarding';

/**
 * Bounds the connections of a server: idle ones and those with an unfinished head are
 * closed first, the oldest first.
 *
 * @param close Closes a connection as too many are open.
 */
export function limitConnections(
  server: Server,
  maxConnections: number,
  busyWeight: number,
  close: (socket: Socket) => void,
): void {
  const bounds = new ConnectionBounds<Socket>(maxConnections, busyWeight);
  server.on('connection', (socket: Socket) => {
    for (const one of bounds.open(socket)) close(one);
    socket.on('close', () => {
      bounds.close(socket);
    });
  });
  server.prependListener(
    'request',
    ({socket}: IncomingMessage, response: ServerResponse) => {
      for (const one of bounds.recordBusy(socket)) close(one);
      response.on('close', () => {
        bounds.recordIdle(socket);
      });
    },
  );
}
