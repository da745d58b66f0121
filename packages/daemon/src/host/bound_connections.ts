import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {endUnread} from './end_unread.js';
import type {HostMemory} from './host_memory.js';
import {limitConnections} from './limit_connections.js';

const BODY_REFUSED_STATUS = 413;

/**
 * Bounds the connections of a port that serves requests without a body, and refuses
 * those that have one.
 */
export function boundConnections(server: Server, memory: HostMemory): void {
  const {portConnections} = memory.bounds;
  const [handle] = server.listeners('request');
  server.removeAllListeners('request');
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    if (hasBody(request)) {
      memory.recordRefusal();
      request.pause();
      endUnread(request.socket);
      response.writeHead(BODY_REFUSED_STATUS, {Connection: 'close'}).end();
    } else handle?.call(server, request, response);
  });
  limitConnections(server, portConnections, 1, socket => {
    memory.closeConnection(socket);
  });
}

function hasBody({headers}: IncomingMessage): boolean {
  const length = Number(headers['content-length'] ?? 0);
  return length > 0 || headers['transfer-encoding'] !== undefined;
}
