import type {FastifyInstance} from 'fastify';

/**
 * Ends a server as a crash would, and lets it listen again at its address.
 *
 * @return Timer of the restart; undefined if the server does not listen.
 */
export function crashServer(
  {server}: FastifyInstance,
  restartAfterMs: number,
): NodeJS.Timeout | undefined {
  const address = server.address();
  server.close();
  server.closeAllConnections();
  if (address === null || typeof address === 'string') return undefined;
  const {address: host, port} = address;
  return setTimeout(() => {
    server.listen({host, port});
  }, restartAfterMs);
}
