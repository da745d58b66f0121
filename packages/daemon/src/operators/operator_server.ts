import fastify, {type FastifyInstance} from 'fastify';
import type {ConfigurationControl} from '../control/configuration_control.js';
import type {Serving} from '../host/serving.js';
import {readTimelineQuery} from '../host/read_timeline_query.js';
import {answerFailures} from './answer_failures.js';
import type {SiteReader} from './site_reader.js';
import type {SocketMeter} from '../host/socket_meter.js';
import {TrafficDirection} from '../host/traffic_direction.js';

const MS_PER_SECOND = 1_000;

/** HTTP server for operators: health checks, metrics, status and drain. */
export class OperatorServer {
  private readonly server: FastifyInstance = fastify();

  /**
   * @param isReady Returns whether callers may be sent to this host.
   * @param startDrain Starts the graceful shutdown of this host.
   */
  constructor(
    private readonly serving: Serving,
    private readonly configuration: ConfigurationControl,
    private readonly site: SiteReader,
    private readonly peerSockets: SocketMeter,
    private readonly isReady: () => boolean,
    private readonly startDrain: () => void,
  ) {
    this.addHealthRoutes();
    this.addSiteRoutes();
    answerFailures(this.server, serving.requestPrefix);
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  async close(): Promise<void> {
    this.server.server.closeAllConnections();
    await this.server.close();
  }

  private addHealthRoutes(): void {
    const {server} = this;
    server.get('/healthz', () => ({ok: true}));
    server.get('/readyz', (_request, reply) => {
      const ready = this.isReady();
      return reply.status(ready ? 200 : 503).send({ready});
    });
    server.get('/metrics', async (_request, reply) => {
      this.updateGauges();
      const {registry} = this.serving.metrics;
      const text = await registry.metrics();
      return reply.type(registry.contentType).send(text);
    });
  }

  private addSiteRoutes(): void {
    const {server, site, serving} = this;
    server.get('/v1/status', async () => ({
      asked: serving.host,
      hosts: await site.readStatus(),
    }));
    server.get('/v1/configuration', () => ({
      revision: this.configuration.getRevision(),
      problems: this.configuration.listProblems(),
      settings: serving.site.settings(),
    }));
    server.get<{Querystring: Record<string, string | undefined>}>(
      '/v1/timeline',
      async ({query}) => ({
        events: await site.readTimeline(readTimelineQuery(query)),
      }),
    );
    server.post<{Params: {name: string}}>(
      '/v1/hosts/:name/drain',
      async ({params}, reply) => {
        if (params.name === serving.host) this.startDrain();
        else await site.drain(params.name);
        return reply.status(202).send({host: params.name, state: 'draining'});
      },
    );
  }

  private updateGauges(): void {
    const {metrics, admission, site} = this.serving;
    metrics.queued.set(admission.countQueued());
    const {peerSockets} = this;
    metrics.peerSocketBytes.set(
      {direction: TrafficDirection.RECEIVED},
      peerSockets.readBytes(),
    );
    metrics.peerSocketBytes.set(
      {direction: TrafficDirection.SENT},
      peerSockets.writtenBytes(),
    );
    const revision = this.configuration.getRevision();
    if (revision !== undefined) {
      metrics.configurationRevision.set({key: 'base'}, revision.base);
      metrics.configurationRevision.set({key: 'overlay'}, revision.overlay);
    }
    const ageMs = this.configuration.getConfirmedAgeMs();
    if (Number.isFinite(ageMs)) {
      metrics.configurationAge.set(ageMs / MS_PER_SECOND);
    }
    for (const {name} of site.allUpstreams()) {
      const usable = this.serving.upstreams.isUsable(name);
      metrics.upstreamUsable.set({upstream: name}, usable ? 1 : 0);
    }
  }
}
