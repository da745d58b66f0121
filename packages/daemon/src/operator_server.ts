import fastify, {type FastifyInstance} from 'fastify';
import type {Serving} from './serving.js';

/** The operators' HTTP interface: probes, metrics and status. */
export class OperatorServer {
  private readonly server: FastifyInstance = fastify();

  constructor(
    private readonly serving: Serving,
    private readonly isReady: () => boolean,
  ) {
    this.server.get('/healthz', () => ({ok: true}));
    this.server.get('/readyz', (_request, reply) => {
      void reply.status(this.isReady() ? 200 : 503);
      return {ready: this.isReady()};
    });
    this.server.get('/metrics', async (_request, reply) => {
      const {registry} = this.serving.metrics;
      void reply.type(registry.contentType);
      return registry.metrics();
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  async close(): Promise<void> {
    await this.server.close();
  }
}
