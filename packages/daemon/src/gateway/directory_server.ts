import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import type {DirectoryDialect} from './directory_dialect.js';

const NO_ADDRESS_STATUS = 503;

/** Tells callers which hosts to use. */
export class DirectoryServer {
  private readonly server: FastifyInstance = fastify();

  /** @param listHosts IP:port for callers of the hosts that take work. */
  constructor(
    dialect: DirectoryDialect,
    listHosts: () => readonly string[],
    ttlMs: number,
  ) {
    this.server.get(
      dialect.path,
      async (_request, reply): Promise<FastifyReply> => {
        const hosts = listHosts();
        const status = hosts.length > 0 ? 200 : NO_ADDRESS_STATUS;
        return reply.status(status).send(dialect.encode(hosts, ttlMs));
      },
    );
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  async close(): Promise<void> {
    this.server.server.closeAllConnections();
    await this.server.close();
  }
}
