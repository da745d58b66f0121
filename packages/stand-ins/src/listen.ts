import type {FastifyInstance} from 'fastify';
import type {StandIn} from './stand_in.js';

const LOOPBACK = '127.0.0.1';

/** Listens on loopback. */
export async function listen(
  server: FastifyInstance,
  port: number,
): Promise<StandIn> {
  const url = await server.listen({host: LOOPBACK, port});
  const {host: address} = new URL(url);
  return {address, url, close: () => closeServer(server)};
}

async function closeServer(server: FastifyInstance): Promise<void> {
  server.server.closeAllConnections();
  await server.close();
}
