import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionBounds} from '@parsleywood/forwarding';
import {endUnread} from './end_unread.js';

const BODY_REFUSED_STATUS = 413;

/**
 * Bounds the connections of a port that serves requests without a body, and refuses
 * those that have one.
 */
export function boundConnections(server: Server, maxConnections: number): void {
  const bounds = new ConnectionBounds<Socket>(maxConnections, 1);
  server.on('connection', (socket: Socket) => {
    for (const one of bounds.open(socket)) one.destroy();
    socket.on('close', () => {
      bounds.close(socket);
    });
  });
  const [handle] = server.listeners('request');
  server.removeAllListeners('request');
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const {socket} = request;
    bounds.recordBusy(socket);
    response.on('close', () => {
      bounds.recordIdle(socket);
    });
    if (hasBody(request)) {
      request.pause();
      endUnread(socket);
      response.writeHead(BODY_REFUSED_STATUS, {Connection: 'close'}).end();
    } else handle?.call(server, request, response);
  });
}

function hasBody({headers}: IncomingMessage): boolean {
  const length = Number(headers['content-length'] ?? 0);
  return length > 0 || headers['transfer-encoding'] !== undefined;
}
