import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {
  DEFAULT_CALLER_LIMITS,
  matchRequest,
  type CallerLimits,
  type RouteMatch,
} from '@parsleywood/forwarding';
import fastify, {type FastifyInstance, type FastifyRequest} from 'fastify';
import {CallerReply} from './response_writer.js';
import {findTimeLimit} from './compute_time_limit.js';
import {ForwardSession} from './forward_session.js';
import type {GatewayParts} from './gateway_context.js';
import {readBody} from './read_body.js';
import {readRequestFacts} from './read_request_metadata.js';
import type {RequestFacts} from './request_metadata.js';

/** Bytes of headers that the parser takes; the configured limit is below. */
const MAX_HEADER_BYTES = 262_144;
/** Longest time that the runtime's timers take. */
const MAX_TIMER_MS = 2_147_483_647;
/** Time by which connections outlast the idle limit, for requests on their way. */
const IDLE_MARGIN_MS = 2_000;
/** How often the time limits of open connections are checked. */
const CHECK_INTERVAL_MS = 1_000;
/** When to come back to another host, from one that stops. */
const STOPPING_RETRY_MS = 50;

/** Takes callers' requests and forwards each in a session of its own. */
export class GatewayServer {
  private readonly server: FastifyInstance;
  private readonly sessions = new Set<ForwardSession>();
  private readonly sockets = new Set<Socket>();
  private limits: CallerLimits = DEFAULT_CALLER_LIMITS;
  private isLeaving = false;
  private isRefusing = false;

  constructor(private readonly parts: GatewayParts) {
    this.server = fastify({
      // Requests are matched by the site's routes, not by the library's.
      rewriteUrl: () => '/',
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
      },
    });
    this.server.addHook('onRequest', async (request, reply) => {
      reply.hijack();
      await this.take(request, reply.raw);
    });
    const {server} = this.server;
    server.requestTimeout = 0;
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.applyLimits(DEFAULT_CALLER_LIMITS);
  }

  /** Requests without a final answer. */
  get openRequests(): number {
    return this.sessions.size;
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  /** Puts the limits of a configuration in force, for open connections too. */
  applyLimits(limits: CallerLimits): void {
    const {server} = this.server;
    server.headersTimeout = Math.min(limits.headerTimeoutMs, MAX_TIMER_MS);
    server.keepAliveTimeout = Math.min(
      limits.idleTimeoutMs + IDLE_MARGIN_MS,
      MAX_TIMER_MS,
    );
    if (limits.idleTimeoutMs > this.limits.idleTimeoutMs) {
      for (const socket of this.sockets) {
        // A socket without a timeout is carrying a request.
        if (socket.timeout) socket.setTimeout(server.keepAliveTimeout);
      }
    }
    this.limits = limits;
  }

  /** Asks callers to use other connections from now on. */
  startLeaving(): void {
    this.isLeaving = true;
  }

  /** Refuses new requests from now on. */
  startRefusing(): void {
    this.isRefusing = true;
  }

  /** Ends what is left and closes all connections. */
  async close(): Promise<void> {
    for (const session of [...this.sessions]) session.stop();
    this.server.server.closeAllConnections();
    await this.server.close();
  }

  private async take(
    request: FastifyRequest,
    response: ServerResponse,
  ): Promise<void> {
    const {parts} = this;
    const receivedAtMs = parts.clock.nowMs();
    const facts = readRequestFacts(
      request.raw,
      request.originalUrl,
      parts.names,
    );
    const reply = new CallerReply(response, facts.id, parts.names.requestId);
    if (this.isLeaving) reply.closeAfterwards();
    const match = this.checkHead(request.raw, facts);
    if (match instanceof Failure) {
      this.refuse(facts, reply, match);
      return;
    }
    const limitMs = findTimeLimit(facts, match.route);
    const body = await readBody(request.raw, this.limits.maxBodyBytes, limitMs);
    if (body.isErr) {
      this.refuse(facts, reply, body.error);
      return;
    }
    const headers = request.raw.rawHeaders;
    const received = {facts, headers, body: body.value, receivedAtMs};
    this.forward(match, received, reply, response);
  }

  private forward(
    match: RouteMatch,
    received: ConstructorParameters<typeof ForwardSession>[2],
    reply: CallerReply,
    response: ServerResponse,
  ): void {
    const session = new ForwardSession(
      this.parts,
      match,
      received,
      reply,
      () => {
        this.sessions.delete(session);
      },
    );
    this.sessions.add(session);
    response.on('close', () => {
      if (!response.writableFinished) session.abandon();
    });
    session.start();
  }

  private checkHead(
    request: IncomingMessage,
    facts: RequestFacts,
  ): RouteMatch | Failure {
    if (this.isRefusing) {
      const message = 'this host stops';
      const kind = ErrorKind.HOST_UNAVAILABLE;
      return new Failure(kind, message, undefined, STOPPING_RETRY_MS);
    }
    const bytes = request.rawHeaders.reduce(
      (sum, one) => sum + one.length + 2,
      0,
    );
    if (bytes > this.limits.maxHeaderBytes) {
      const most = this.limits.maxHeaderBytes;
      const message = `the headers are longer than ${most} bytes`;
      return new Failure(ErrorKind.HEADERS_TOO_LARGE, message);
    }
    const {host, target, key} = facts;
    const match = matchRequest(this.parts.ledger.rules, host, target, key);
    return match.isOk ? match.value : match.error;
  }

  private refuse(
    facts: RequestFacts,
    reply: CallerReply,
    failure: Failure,
  ): void {
    const {parts} = this;
    parts.metrics.requests.inc({service: '', outcome: failure.kind});
    parts.log.info('request_refused', {
      requestId: facts.id,
      outcome: failure.kind,
      reason: failure.message,
      version: parts.ledger.rules?.configuration.version,
      revision: parts.ledger.revision,
    });
    if (failure.kind === ErrorKind.CALLER_GONE) reply.abort();
    else reply.fail(failure);
  }
}
