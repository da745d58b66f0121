import type {DirectoryQuery} from '@parsleywood/forwarding';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {boundConnections} from '../../host/bound_connections.js';
import type {HostMemory} from '../../host/host_memory.js';
import type {DirectoryDialect} from './directory_dialect.js';

const NO_HOSTS_STATUS = 503;

/** Serves the directory: the hosts that callers may send requests to. */
export class DirectoryServer {
  private readonly server: FastifyInstance = fastify();

  /**
   * @param listHosts Lists, as IP:port for callers, the hosts that accept
   *     requests of a caller.
   */
  constructor(
    private readonly dialect: DirectoryDialect,
    listHosts: (query: DirectoryQuery) => readonly string[],
    ttlMs: number,
    memory: HostMemory,
  ) {
    boundConnections(this.server.server, memory);
    this.server.get(
      dialect.path,
      async ({query}, reply): Promise<FastifyReply> => {
        const hosts = listHosts(this.decodeQuery(query));
        const status = hosts.length > 0 ? 200 : NO_HOSTS_STATUS;
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

  /** Of a parameter that is given more than once, the first counts. */
  private decodeQuery(query: unknown): DirectoryQuery {
    const {name, region, failureDomain} = this.dialect.query;
    const values = query as Record<string, string | string[] | undefined>;
    const read = (parameter: string): string | undefined => {
      const [first] = [values[parameter]].flat();
      return first === '' ? undefined : first;
    };
    return {
      name: read(name),
      region: read(region),
      failureDomain: read(failureDomain),
    };
  }
}
