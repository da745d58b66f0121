import type {Socket} from 'node:net';

/**
 * Time in which a caller that still sends gets its refusal. A connection that is
 * closed with unread bytes is reset, and the caller may lose the refusal.
 */
const LINGER_MS = 500;

/**
 * Ends a connection of which no more is read: the answer is sent and the connection
 * half-closed, and it is closed soon after, whatever the caller does.
 */
export function endUnread(socket: Socket): void {
  socket.destroySoon = () => {
    socket.end();
  };
  setTimeout(() => {
    socket.destroy();
  }, LINGER_MS);
}
