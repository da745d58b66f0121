import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  ConnectionBounds,
  DEFAULT_CALLER_LIMITS,
  DrainAdmission,
  DurationHistory,
  matchRequest,
  ReadBudget,
  type CallerLimits,
  type RouteMatch,
} from '@parsleywood/forwarding';
import fastify, {type FastifyInstance, type FastifyRequest} from 'fastify';
import {CallerConnection} from './caller_connection.js';
import {ResponseWriter} from './response_writer.js';
import {computeTimeLimit} from './compute_time_limit.js';
import {createSurplusFailure} from './create_surplus_failure.js';
import {createStoppingFailure} from './create_stopping_failure.js';
import {ForwardSession} from '../attempts/forward_session.js';
import type {GatewayContext} from '../gateway_context.js';
import {readBody} from './read_body.js';
import {readRequestMetadata} from './read_request_metadata.js';
import type {RequestMetadata} from './request_metadata.js';
import {HostMemory} from '../../host/host_memory.js';
import {SocketReader} from '../../host/socket_reader.js';

/** Header size limit of the HTTP parser, above the configured limit. */
const MAX_HEADER_BYTES = 262_144;
/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2_147_483_647;
/**
 * Time for which connections stay open beyond the idle timeout, for requests in
 * transit.
 */
const IDLE_MARGIN_MS = 2_000;
/** Interval at which the timeouts of open connections are checked. */
const CHECK_INTERVAL_MS = 1_000;
/** Maximum time in which callers read their answers once the host closes. */
const FLUSH_TIMEOUT_MS = 500;
const FLUSH_POLL_INTERVAL_MS = 20;

/** Bytes of a caller that are read at once. */
const TURN_BYTES = 8_192;

/** Longest body that is read and discarded after a refusal, to keep the connection. */
const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MS = 500;
/** A connection with a request may need another one to an upstream. */
const BUSY_WEIGHT = 2;

const FAULT_MESSAGE = 'host could not handle the request';

/** HTTP server for callers. Each request is forwarded by a session of its own. */
export class GatewayServer {
  private readonly server: FastifyInstance;
  private readonly connections = new Map<Socket, CallerConnection>();
  private limits: CallerLimits = DEFAULT_CALLER_LIMITS;
  private readonly durations = new DurationHistory();
  private readonly readBudget = new ReadBudget();
  private drainAdmission: DrainAdmission | undefined;

  private readonly bounds: ConnectionBounds<Socket>;

  constructor(
    private readonly context: GatewayContext,
    private readonly memory = new HostMemory(context.clock),
  ) {
    const {callerConnections} = memory.bounds;
    this.bounds = new ConnectionBounds(callerConnections, BUSY_WEIGHT);
    this.server = fastify({
      // Requests are matched by the site's routes, not by Fastify's.
      rewriteUrl: () => '/',
      // Requests that come while the server closes are refused like others.
      return503OnClosing: false,
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
      },
    });
    this.server.addHook('onRequest', async (request, reply) => {
      reply.hijack();
      await this.handleRequest(request, reply.raw);
    });
    const {server} = this.server;
    server.requestTimeout = 0;
    // Their length alone is bounded; Node.js would leave out those beyond a number.
    server.maxHeadersCount = 0;
    server.on('connection', (socket: Socket) => {
      const reader = new SocketReader(
        TURN_BYTES,
        this.readBudget,
        context.clock,
      );
      reader.feed(socket);
      const connection = new CallerConnection(reader, socket);
      this.connections.set(socket, connection);
      this.closeAll(this.bounds.open(socket));
      socket.on('end', () => {
        connection.end();
      });
      socket.on('close', () => {
        connection.end();
        this.connections.delete(socket);
        this.bounds.close(socket);
      });
    });
    this.applyLimits(DEFAULT_CALLER_LIMITS);
  }

  /** Number of requests whose response is not handed over whole. */
  get openRequests(): number {
    let count = 0;
    for (const {writers} of this.connections.values()) count += writers.size;
    return count;
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  /** Applies the limits of a configuration, also to open connections. */
  applyLimits(limits: CallerLimits): void {
    const {server} = this.server;
    server.headersTimeout = Math.min(limits.headerTimeoutMs, MAX_TIMER_MS);
    server.keepAliveTimeout = Math.min(
      limits.idleTimeoutMs + IDLE_MARGIN_MS,
      MAX_TIMER_MS,
    );
    if (limits.idleTimeoutMs > this.limits.idleTimeoutMs) {
      for (const socket of this.connections.keys()) {
        // A socket without a timeout has a request in progress.
        if (socket.timeout) socket.setTimeout(server.keepAliveTimeout);
      }
    }
    this.limits = limits;
  }

  /** Forgets the durations of all routes but these. */
  retainRoutes(names: ReadonlySet<string>): void {
    this.durations.retain(names);
  }

  /**
   * Accepts only requests that end in time, and asks callers to close their
   * connections after each response.
   *
   * @param refusesFromMs Monotonic time from which all requests are refused.
   * @param closesAtMs Monotonic time at which the server is closed at the latest.
   */
  startDraining(refusesFromMs: number, closesAtMs: number): void {
    this.drainAdmission = new DrainAdmission(
      this.durations,
      refusesFromMs,
      closesAtMs,
    );
    for (const {writers} of this.connections.values()) {
      for (const writer of writers) writer.closeConnectionAfter();
    }
  }

  /** Ends the requests that make no progress. */
  endStalled(): void {
    for (const session of this.listSessions()) session.endStalled();
  }

  /** Ends what runs at upstreams that have left and are gone. */
  checkDepartures(): void {
    for (const session of this.listSessions()) session.checkDeparture();
  }

  /** Fails the remaining requests and closes all connections. */
  async close(): Promise<void> {
    for (const session of this.listSessions()) session.stop();
    const closed = this.server.close();
    await this.flush();
    this.server.server.closeAllConnections();
    await closed;
  }

  private closeAll(sockets: readonly Socket[]): void {
    for (const socket of sockets) this.memory.closeConnection(socket);
  }

  /** Waits for callers that read slowly. */
  private async flush(): Promise<void> {
    const {clock} = this.context;
    const untilMs = clock.nowMs() + FLUSH_TIMEOUT_MS;
    while (this.openRequests > 0 && clock.nowMs() < untilMs) {
      await pause(FLUSH_POLL_INTERVAL_MS);
    }
  }

  private listSessions(): ForwardSession[] {
    return [...this.connections.values()].flatMap(({sessions}) => [
      ...sessions,
    ]);
  }

  private async handleRequest(
    request: FastifyRequest,
    response: ServerResponse,
  ): Promise<void> {
    const {context} = this;
    const connection = this.connections.get(request.raw.socket);
    // The caller has left already.
    if (connection === undefined) return;
    const metadata = readRequestMetadata(
      request.raw,
      request.originalUrl,
      context.headerNames,
    );
    const writer = new ResponseWriter(
      response,
      metadata.id,
      context.headerNames.requestId,
      this.memory,
    );
    connection.writers.add(writer);
    const {socket} = request.raw;
    const surplus = this.bounds.recordBusy(socket);
    const isSurplus = surplus.includes(socket);
    this.closeAll(surplus.filter(one => one !== socket));
    response.on('close', () => {
      connection.writers.delete(writer);
      if (connection.writers.size === 0) this.bounds.recordIdle(socket);
    });
    try {
      const {isOutOfService} = context.reach;
      if (this.drainAdmission !== undefined || isOutOfService) {
        writer.closeConnectionAfter();
      }
      if (isSurplus) this.refuseSurplus(metadata, writer);
      else await this.receive(request.raw, metadata, writer, connection);
    } catch (error) {
      const kind = ErrorKind.INTERNAL;
      const failure = new Failure(kind, FAULT_MESSAGE, ExecutionStatus.NO);
      this.refuse(metadata, writer, failure);
      context.log.error('request_fault', {
        requestId: metadata.id,
        reason: error instanceof Error ? error.stack : String(error),
      });
    }
  }

  /** Refuses a request as too many connections have one. */
  private refuseSurplus(
    metadata: RequestMetadata,
    writer: ResponseWriter,
  ): void {
    this.memory.recordRefusal();
    writer.closeConnectionAfter();
    this.refuse(metadata, writer, createSurplusFailure());
  }

  /** Reads a request and forwards it, or refuses it. */
  private async receive(
    request: IncomingMessage,
    metadata: RequestMetadata,
    writer: ResponseWriter,
    connection: CallerConnection,
  ): Promise<void> {
    const receivedAtMs = this.context.clock.nowMs();
    const match = this.matchRoute(request, metadata);
    if (match instanceof Failure) {
      this.discardBody(request, connection, writer);
      this.refuse(metadata, writer, match);
      return;
    }
    const limitMs = computeTimeLimit(metadata, match.route);
    const body = await readBody(
      request,
      this.limits.maxBodyBytes,
      limitMs,
      connection.reader,
      this.memory,
    );
    if (body.isErr) {
      this.endUnread(request, connection, writer);
      this.refuse(metadata, writer, body.error);
      return;
    }
    // A connection that is closed before its request is read whole is reset, and
    // the caller may lose the refusal.
    const refusal = this.findRefusal(match, receivedAtMs + limitMs);
    if (refusal !== undefined) {
      body.value.release();
      this.refuse(metadata, writer, refusal);
      return;
    }
    const headers = request.rawHeaders;
    const received = {
      metadata,
      headers,
      body: body.value.bytes,
      lease: body.value,
      receivedAtMs,
    };
    this.forward(match, received, writer, connection);
  }

  /**
   * Lets a request be refused whose body is not read: a short one is discarded, so
   * that the caller may send further requests, and others end their connection.
   */
  private discardBody(
    request: IncomingMessage,
    connection: CallerConnection,
    writer: ResponseWriter,
  ): void {
    const length = Number(request.headers['content-length'] ?? 0);
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    if (isChunked || length > MAX_DISCARDED_BYTES) {
      this.endUnread(request, connection, writer);
    } else if (length > 0) {
      setTimeout(() => {
        this.endUnread(request, connection, writer);
      }, DISCARD_TIMEOUT_MS);
    }
  }

  /** Ends the connection of a refused request unless it was read whole. */
  private endUnread(
    request: IncomingMessage,
    connection: CallerConnection,
    writer: ResponseWriter,
  ): void {
    if (request.complete || request.socket.destroyed) return;
    this.memory.recordRefusal();
    writer.closeConnectionAfter();
    connection.endUnread(writer);
  }

  private forward(
    match: RouteMatch,
    received: ConstructorParameters<typeof ForwardSession>[2],
    writer: ResponseWriter,
    {sessions}: CallerConnection,
  ): void {
    const session = new ForwardSession(
      this.context,
      match,
      received,
      writer,
      sentAttempts => {
        sessions.delete(session);
        received.lease?.release();
        if (sentAttempts === 0) return;
        const tookMs = this.context.clock.nowMs() - received.receivedAtMs;
        this.durations.record(match.route.name, tookMs);
      },
    );
    sessions.add(session);
    session.start();
  }

  /** Returns the failure for a request that other hosts are to serve. */
  findRefusal({route}: RouteMatch, deadlineMs: number): Failure | undefined {
    const {drainAdmission, context} = this;
    const mayAccept =
      drainAdmission?.mayAccept(route, deadlineMs, context.clock.nowMs()) ??
      true;
    return mayAccept ? context.reach.findRefusal() : createStoppingFailure();
  }

  private matchRoute(
    request: IncomingMessage,
    metadata: RequestMetadata,
  ): RouteMatch | Failure {
    const bytes = request.rawHeaders.reduce(
      (sum, one) => sum + one.length + 2,
      0,
    );
    if (bytes > this.limits.maxHeaderBytes) {
      const maxBytes = this.limits.maxHeaderBytes;
      const message = `request headers exceed ${maxBytes} bytes`;
      return new Failure(ErrorKind.HEADERS_TOO_LARGE, message);
    }
    const {host, target, accountKey: key} = metadata;
    const {replica, planStartRetryMs} = this.context;
    const match = matchRequest(
      replica.rules,
      host,
      target,
      key,
      replica.rules ? undefined : planStartRetryMs(),
    );
    return match.isErr ? match.error : match.value;
  }

  private refuse(
    metadata: RequestMetadata,
    writer: ResponseWriter,
    failure: Failure,
  ): void {
    const {context} = this;
    if (failure.kind === ErrorKind.CALLER_GONE) writer.abort();
    else writer.fail(failure);
    context.metrics.requests.inc({service: '', outcome: failure.kind});
    context.log.info('request_refused', {
      requestId: metadata.id,
      outcome: failure.kind,
      reason: failure.message,
      version: context.replica.rules?.configuration.version,
      ...context.replica.position,
    });
  }
}
