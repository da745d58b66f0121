import type {IncomingMessage, ServerResponse} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import type {Caller} from './caller.js';
import {findCallSettings} from './find_call_settings.js';
import type {OrderDesk} from '../control/order_desk.js';
import {parseTimeLimit} from './parse_time_limit.js';
import type {ServiceCall} from './service_call.js';
import {ServiceSession} from './service_session.js';
import type {Serving} from '../host/serving.js';
import {throwFailure} from '../host/throw_failure.js';

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
/**
 * Path elements that a service could normalize to another path than the one
 * matched against its settings.
 */
const UNSAFE_PATH = /\/\/|\/\.{1,2}(\/|$)|\\|%2e|%2f|%5c/i;
const DEFAULT_TIME_LIMIT_MS = 10_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

/** Validates service calls and starts a session for each. */
export class ServiceHandler {
  constructor(
    private readonly serving: Serving,
    private readonly orders: OrderDesk,
  ) {}

  /**
   * Validates a call and starts its session.
   *
   * @throws Failure if the call is refused.
   */
  handle(
    caller: Caller,
    body: Buffer,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const settings = this.serving.requireSettings();
    const [, service = '', path = '/', query = ''] =
      SERVICE_PATH.exec(incoming.url ?? '') ?? [];
    const method = incoming.method ?? '';
    if (UNSAFE_PATH.test(path)) {
      throw new Failure(
        ErrorKind.INVALID_REQUEST,
        'the path has empty or dot segments, a backslash or encoded separators or dots',
      );
    }
    const serviceSettings = settings.services[service];
    const callSettings =
      serviceSettings && findCallSettings(serviceSettings, method, path);
    if (serviceSettings === undefined || callSettings === undefined) {
      throw new Failure(
        ErrorKind.UNKNOWN_CALL,
        `service "${service}" has no call ${method} ${path}`,
      );
    }
    const limitMs =
      parseTimeLimit(
        incoming.headers['request-timeout-ms'],
        settings.timeLimits.maxMs,
      ).unwrapOrElse(throwFailure) ??
      serviceSettings.timeLimitMs ??
      DEFAULT_TIME_LIMIT_MS;
    const call: ServiceCall = {
      ...caller,
      ...{service, method, body},
      target: `${path}${query}`,
      contentType: incoming.headers['content-type'] ?? '',
      idempotencyKey: readIdempotencyKey(incoming, callSettings.repeatable),
      repeatable: callSettings.repeatable,
      deadlineMs: this.serving.clock.nowMs() + limitMs,
    };
    this.serving.begin();
    new ServiceSession(this.serving, this.orders, call, response).start();
  }
}

function readIdempotencyKey(
  incoming: IncomingMessage,
  repeatable: boolean,
): string {
  const key = incoming.headers['idempotency-key'];
  if (key === undefined && repeatable) return '';
  if (typeof key !== 'string' || key.trim() === '') {
    throw new Failure(
      ErrorKind.IDEMPOTENCY_KEY_MISSING,
      'this call may not be repeated and needs an Idempotency-Key header',
    );
  }
  if (key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw new Failure(
      ErrorKind.INVALID_REQUEST,
      `the Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  return key;
}
