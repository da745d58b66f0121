import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import type {ServiceAnswer} from './service_answer.js';
import type {ServiceCall} from '../callers/service_call.js';
import type {UpstreamPools} from './upstream_pools.js';

const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const RETRY_AFTER_MS = 500;

/** Calls plain services. */
export class ServiceClient {
  constructor(private readonly pools: UpstreamPools) {}

  /**
   * Sends one call once.
   *
   * @param address IP:port of the service.
   * @param limitMs Longest wait for the whole answer.
   * @param fencing Fencing number of an order; absent for other calls.
   */
  async send(
    call: ServiceCall,
    address: string,
    limitMs: number,
    fencing?: number,
  ): Promise<Result<ServiceAnswer, Failure>> {
    try {
      const answer = await this.pools.get(address).request({
        method: call.method as 'GET',
        path: call.target,
        headers: this.makeHeaders(call, fencing),
        body: call.body.length > 0 ? call.body : null,
        signal: AbortSignal.timeout(Math.max(Math.ceil(limitMs), 1)),
      });
      return Result.ok({
        status: answer.statusCode,
        contentType: String(answer.headers['content-type'] ?? ''),
        body: Buffer.from(await answer.body.arrayBuffer()),
      });
    } catch (error) {
      return Result.err(this.describe(call, error as NodeJS.ErrnoException));
    }
  }

  private makeHeaders(
    call: ServiceCall,
    fencing: number | undefined,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      'parsleywood-account': call.account,
      'parsleywood-request-id': call.requestId,
    };
    if (call.contentType !== '') headers['content-type'] = call.contentType;
    if (call.idempotencyKey !== '') {
      headers['idempotency-key'] = call.idempotencyKey;
    }
    if (fencing !== undefined) headers['parsleywood-fencing'] = String(fencing);
    return headers;
  }

  private describe(call: ServiceCall, error: NodeJS.ErrnoException): Failure {
    const where = `service "${call.service}"`;
    if (error.name === 'TimeoutError') {
      return new Failure(
        ErrorKind.TIME_LIMIT,
        `${where} did not answer within the time limit`,
        ExecutionStatus.UNKNOWN,
        RETRY_AFTER_MS,
      );
    }
    const code = error.code ?? error.name;
    const sent = !NOT_SENT.has(code);
    return new Failure(
      sent ? ErrorKind.UPSTREAM_FAILED : ErrorKind.UPSTREAM_UNAVAILABLE,
      `${where}: ${code}`,
      sent ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO,
      RETRY_AFTER_MS,
    );
  }
}
