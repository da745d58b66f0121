import {once} from 'node:events';
import {createServer} from 'node:net';

// Below the range from which systems take the ports of outgoing connections.
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const LOOPBACK = '127.0.0.1';

/** Finds ports of the loopback interface that nobody listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, LOOPBACK);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}
