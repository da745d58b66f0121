import {createServer, type Server} from 'node:http';
import type {TimelineQuery} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from '@parsleywood/timeline';
import fastify, {type FastifyInstance} from 'fastify';
import {boundConnections} from '../../host/bound_connections.js';
import type {HostMemory} from '../../host/host_memory.js';
import {readTimelineQuery} from '../../host/read_timeline_query.js';
import {answerFailures} from '../../operators/answer_failures.js';
import type {RequestExplainer} from '../explain/request_explainer.js';
import type {GatewayMetrics} from '../gateway_metrics.js';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Serves the readiness check, the metrics, the timeline of events and explanations. */
export class ProbeServer {
  private readonly app: FastifyInstance = fastify();
  /**
   * Serves the same routes at a second address. A second Fastify instance would
   * cost start-up time.
   */
  private readonly metrics: Server = createServer((request, response) => {
    this.app.routing(request, response);
  });

  /**
   * @param refresh Updates gauges before the metrics are read.
   * @param readTimeline Reads the timeline events of all hosts.
   */
  constructor(
    path: string,
    isReady: () => boolean,
    metrics: GatewayMetrics,
    refresh: () => void,
    readTimeline: (query: TimelineQuery) => Promise<TimelineEntry[]>,
    explainer: Pick<RequestExplainer, 'explain'>,
    memory: HostMemory,
  ) {
    boundConnections(this.app.server, memory);
    boundConnections(this.metrics, memory);
    this.app.get(path, async (_request, reply) => {
      const ready = isReady();
      return reply
        .status(ready ? READY_STATUS : NOT_READY_STATUS)
        .send({ready});
    });
    const {registry} = metrics.host;
    this.app.get('/metrics', async (_request, reply) => {
      refresh();
      return reply.type(registry.contentType).send(await registry.metrics());
    });
    this.app.get<{Querystring: Record<string, string | undefined>}>(
      '/v1/timeline',
      async ({query}) => ({
        events: await readTimeline(readTimelineQuery(query)),
      }),
    );
    this.app.get<{Querystring: Record<string, unknown>}>(
      '/v1/explain',
      ({query}, reply) => reply.send(explainer.explain(query)),
    );
    answerFailures(this.app, 'probe');
  }

  async listenForReadiness(host: string, port: number): Promise<void> {
    await this.app.listen({host, port});
  }

  async listenForMetrics(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.metrics.once('error', reject);
      this.metrics.listen(port, host, resolve);
    });
  }

  async close(): Promise<void> {
    this.metrics.closeAllConnections();
    this.metrics.close();
    this.app.server.closeAllConnections();
    await this.app.close();
  }
}
