import type {Socket} from 'node:net';

/**
 * Writes bytes to a connection until the other side closes it, no faster than it
 * reads.
 *
 * @param describeNext Returns the next bytes; it is called with a count from 0.
 * @return Number of bytes written.
 */
export async function writeEndlessly(
  socket: Socket,
  describeNext: (count: number) => string,
): Promise<number> {
  return new Promise(resolve => {
    let bytes = 0;
    let count = 0;
    const write = (): void => {
      if (socket.destroyed) return;
      const next = describeNext(count++);
      bytes += next.length;
      socket.write(next, () => setImmediate(write));
    };
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(bytes);
    });
    write();
  });
}
