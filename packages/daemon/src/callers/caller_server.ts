import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  ErrorKind,
  Failure,
  formatFailure,
  ERROR_RESPONSES,
} from '@parsleywood/errors';
import fastify, {type FastifyInstance, type FastifyRequest} from 'fastify';
import type {Caller} from './caller.js';
import {CompletionPath} from './completion_path.js';
import type {CompletionHandler} from './completion_handler.js';
import {endUnread} from '../host/end_unread.js';
import {handlePendingInput} from '../host/handle_pending_input.js';
import {hasCallerLeft} from './has_caller_left.js';
import {HostBounds} from '../host/host_bounds.js';
import type {HostNaming} from '../host/host_naming.js';
import {limitConnections} from '../host/limit_connections.js';
import {OpenRequests} from './open_requests.js';
import type {ServiceHandler} from './service_handler.js';
import type {Serving} from '../host/serving.js';
import {writeFailure} from './write_failure.js';

/** Upper limit on the body size; the settings may set a lower one. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const BODY_TIMEOUT_MS = 30_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const RETRY_AFTER_MS = 500;
/** A connection with a request may need another one to an upstream. */
const BUSY_WEIGHT = 2;
/** Error kinds by error code of the HTTP parser. */
const CLIENT_ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.BODY_TIMEOUT,
  HPE_HEADER_OVERFLOW: ErrorKind.HEADERS_TOO_LARGE,
};

/** HTTP server for callers: completions, service calls, models and hosts. */
export class CallerServer {
  private readonly server: FastifyInstance;
  /** Requests whose answer is not yet completely sent. */
  readonly openRequests = new OpenRequests();
  private requestCount = 0;
  private isLeaving = false;

  constructor(
    private readonly serving: Serving,
    private readonly completions: CompletionHandler,
    private readonly services: ServiceHandler,
    private readonly hostNaming: HostNaming,
  ) {
    this.server = fastify({
      bodyLimit: MAX_BODY_BYTES,
      requestTimeout: BODY_TIMEOUT_MS,
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
      forceCloseConnections: 'idle',
      return503OnClosing: false,
      clientErrorHandler: (error, socket) => {
        this.answerMalformedRequest(error.code, socket);
      },
      frameworkErrors: (error, _request, reply) => {
        const failure = this.convertError(error.code, error.message);
        writeFailure(
          reply.raw,
          failure,
          this.nextRequestId(),
          this.serving.replyHead(''),
        );
      },
    });
    const {callerConnections} = new HostBounds();
    // Their length alone is bounded; Node.js would leave out those beyond a number.
    this.server.server.maxHeadersCount = 0;
    limitConnections(
      this.server.server,
      callerConnections,
      BUSY_WEIGHT,
      socket => {
        serving.log.info('connection_closed', {address: socket.remoteAddress});
        socket.destroy();
      },
    );
    this.server.removeAllContentTypeParsers();
    this.server.addContentTypeParser(
      '*',
      {parseAs: 'buffer'},
      (_request, body, done) => {
        done(null, body);
      },
    );
    this.addRoutes();
    serving.site.watchSettings(({callers}) => {
      const {server} = this.server;
      server.requestTimeout = callers.bodyTimeoutMs ?? BODY_TIMEOUT_MS;
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await this.server.listen({host, port});
  }

  /**
   * From now on, closes each connection after its next answer, so that callers
   * connect to other hosts.
   */
  closeAfterAnswers(): void {
    this.isLeaving = true;
  }

  /** Accepts no new connections; resolves when the open ones are closed. */
  async close(): Promise<void> {
    await this.server.close();
  }

  /** Closes all open connections, also those with a request in flight. */
  closeConnections(): void {
    this.server.server.closeAllConnections();
  }

  private addRoutes(): void {
    const {server} = this;
    server.setErrorHandler((error, request, reply) => {
      const {code, message} = error as NodeJS.ErrnoException;
      const failure =
        error instanceof Failure
          ? error
          : this.convertError(code ?? '', message);
      const requestId = request.id;
      reply.hijack();
      writeFailure(
        reply.raw,
        failure,
        requestId,
        this.serving.replyHead(requestId),
      );
    });
    server.setNotFoundHandler(request => {
      throw new Failure(
        ErrorKind.NOT_FOUND,
        `no ${request.method} ${request.url.split('?')[0] ?? ''} here`,
      );
    });
    server.addHook('onRequest', (request, reply, done) => {
      request.id = this.nextRequestId();
      this.openRequests.add(reply.raw);
      if (this.isLeaving) reply.raw.shouldKeepAlive = false;
      done();
    });
    server.get('/v1/hosts', request => this.answerHosts(request));
    server.get('/v1/models', request => this.answerModels(request));
    for (const path of Object.values(CompletionPath)) {
      server.post(path, {onRequest: this.requireAccount}, (request, reply) => {
        reply.hijack();
        void this.runHandler(request, reply.raw, (caller, body) => {
          this.completions.handle(path, caller, body, request.raw, reply.raw);
        });
      });
    }
    server.all(
      '/v1/services/:service/*',
      {onRequest: this.requireAccount},
      (request, reply) => {
        reply.hijack();
        void this.runHandler(request, reply.raw, (caller, body) => {
          this.services.handle(caller, body, request.raw, reply.raw);
        });
      },
    );
  }

  /**
   * Refuses a request without a valid API key, or with too large a declared
   * body, before its body is read.
   */
  private readonly requireAccount = (
    request: FastifyRequest,
    _reply: unknown,
    done: (error?: Error) => void,
  ): void => {
    const keyring = this.serving.site.keyring();
    if (keyring === undefined) {
      done(this.createNoSettingsFailure());
    } else if (!keyring.findAccount(request.headers.authorization)) {
      done(this.createUnauthenticatedFailure());
    } else {
      done(this.checkBodyLength(request.raw));
    }
  };

  private checkBodyLength(request: IncomingMessage): Failure | undefined {
    const maxBytes =
      this.serving.site.settings()?.callers.maxBodyBytes ?? MAX_BODY_BYTES;
    const length = Number(request.headers['content-length'] ?? 0);
    return length > maxBytes ? this.createTooLargeFailure(maxBytes) : undefined;
  }

  private async runHandler(
    request: FastifyRequest,
    response: ServerResponse,
    handle: (caller: Caller, body: Buffer) => void,
  ): Promise<void> {
    await handlePendingInput();
    if (hasCallerLeft(response)) return;
    const requestId = request.id;
    const headers = this.serving.replyHead(requestId);
    const account = this.serving.site
      .keyring()
      ?.findAccount(request.headers.authorization);
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    const maxBytes =
      this.serving.site.settings()?.callers.maxBodyBytes ?? MAX_BODY_BYTES;
    try {
      if (account === undefined) throw this.createNoSettingsFailure();
      if (body.length > maxBytes) throw this.createTooLargeFailure(maxBytes);
      handle({requestId, account}, body);
    } catch (error) {
      const failure =
        error instanceof Failure
          ? error
          : new Failure(ErrorKind.INTERNAL, 'internal error');
      if (failure.kind === ErrorKind.INTERNAL) {
        const {stack} = error as Error;
        this.serving.log.error('request_error', {requestId, stack});
      }
      writeFailure(response, failure, requestId, headers);
    }
  }

  private answerHosts(request: FastifyRequest): object {
    const {site} = this.serving;
    const settings = site.settings();
    if (settings === undefined) throw this.createNoSettingsFailure();
    const {authorization} = request.headers;
    const account = site.keyring()?.findAccount(authorization);
    if (authorization !== undefined && account === undefined) {
      throw this.createUnauthenticatedFailure();
    }
    const preferredHosts = this.hostNaming.nameFor(account ?? request.ip);
    return {
      hosts: preferredHosts.map(({callers, failureDomain}) => ({
        address: callers,
        failureDomain,
      })),
      keepForMs: settings.callers.keepHostsForMs,
    };
  }

  private answerModels(request: FastifyRequest): object {
    const {site} = this.serving;
    if (!site.keyring()?.findAccount(request.headers.authorization)) {
      throw this.createUnauthenticatedFailure();
    }
    const models = Object.keys(site.settings()?.models ?? {});
    return {
      object: 'list',
      data: models.map(id => ({id, object: 'model', owned_by: 'parsleywood'})),
    };
  }

  private answerMalformedRequest(
    code: string | undefined,
    socket: Socket,
  ): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const kind = CLIENT_ERROR_KINDS[code ?? ''] ?? ErrorKind.INVALID_REQUEST;
    const failure = new Failure(
      kind,
      `the HTTP request is malformed or incomplete: ${kind}`,
    );
    const body = JSON.stringify(formatFailure(failure, this.nextRequestId()));
    socket.end(
      `HTTP/1.1 ${ERROR_RESPONSES[kind].status} Error\r\nconnection: close\r\n` +
        'content-type: application/json\r\n' +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    endUnread(socket);
  }

  private convertError(code: string, message: string): Failure {
    if (code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
      return this.createTooLargeFailure(MAX_BODY_BYTES);
    }
    if (code.startsWith('FST_ERR')) {
      return new Failure(ErrorKind.INVALID_REQUEST, message);
    }
    return new Failure(ErrorKind.INTERNAL, 'internal error');
  }

  private createTooLargeFailure(maxBytes: number): Failure {
    return new Failure(
      ErrorKind.BODY_TOO_LARGE,
      `the body is larger than ${maxBytes} bytes`,
    );
  }

  private createUnauthenticatedFailure(): Failure {
    return new Failure(
      ErrorKind.UNAUTHENTICATED,
      'the authorization header does not contain the key of a client account',
    );
  }

  private createNoSettingsFailure(): Failure {
    return new Failure(
      ErrorKind.HOST_UNAVAILABLE,
      'this host has no settings yet',
      undefined,
      RETRY_AFTER_MS,
    );
  }

  private nextRequestId(): string {
    return `${this.serving.requestPrefix}-${(this.requestCount++).toString(36)}`;
  }
}
