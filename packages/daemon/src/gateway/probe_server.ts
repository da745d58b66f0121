import fastify, {type FastifyInstance} from 'fastify';
import type {GatewayMetrics} from './gateway_metrics.js';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Answers whether this host is ready, and serves its metrics. */
export class ProbeServer {
  private readonly readiness: FastifyInstance = fastify();
  private readonly metrics: FastifyInstance = fastify();

  /** @param refresh Brings gauges up to date before they are read. */
  constructor(
    path: string,
    isReady: () => boolean,
    metrics: GatewayMetrics,
    refresh: () => void,
  ) {
    this.readiness.get(path, async (_request, reply) => {
      const ready = isReady();
      return reply
        .status(ready ? READY_STATUS : NOT_READY_STATUS)
        .send({ready});
    });
    const {registry} = metrics.host;
    this.metrics.get('/metrics', async (_request, reply) => {
      refresh();
      return reply.type(registry.contentType).send(await registry.metrics());
    });
  }

  async listenForReadiness(host: string, port: number): Promise<void> {
    await this.readiness.listen({host, port});
  }

  async listenForMetrics(host: string, port: number): Promise<void> {
    await this.metrics.listen({host, port});
  }

  async close(): Promise<void> {
    for (const server of [this.readiness, this.metrics]) {
      server.server.closeAllConnections();
      await server.close();
    }
  }
}
