import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import {Result} from 'true-myth';
import {MAX_RESPONSE_BYTES} from './max_response_bytes.js';
import {readLimitedBody} from './read_limited_body.js';
import type {ServiceAnswer} from './service_answer.js';
import type {ServiceCall} from '../callers/service_call.js';
import type {UpstreamPools} from './upstream_pools.js';

/** Errors raised before a connection exists, so that nothing was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const RETRY_AFTER_MS = 500;

/** Sends calls to service upstreams. */
export class ServiceClient {
  constructor(private readonly pools: UpstreamPools) {}

  /**
   * Sends a call, without retries.
   *
   * @param address IP:port of the upstream.
   * @param limitMs Timeout for the complete response.
   * @param fencing Fencing number of an order; absent for idempotent calls.
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
        headers: this.buildHeaders(call, fencing),
        body: call.body.length > 0 ? call.body : null,
        signal: AbortSignal.timeout(Math.max(Math.ceil(limitMs), 1)),
      });
      return Result.ok({
        status: answer.statusCode,
        contentType: String(answer.headers['content-type'] ?? ''),
        body: await readLimitedBody(answer.body, MAX_RESPONSE_BYTES),
      });
    } catch (error) {
      return Result.err(
        this.createFailure(call, error as NodeJS.ErrnoException),
      );
    }
  }

  private buildHeaders(
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

  private createFailure(
    call: ServiceCall,
    error: NodeJS.ErrnoException,
  ): Failure {
    const service = `service "${call.service}"`;
    if (error.name === 'TimeoutError') {
      return new Failure(
        ErrorKind.TIME_LIMIT,
        `${service} did not answer within the time limit`,
        ExecutionStatus.UNKNOWN,
        RETRY_AFTER_MS,
      );
    }
    const code = error.code ?? error.message;
    const mayHaveBeenSent = !CONNECT_ERROR_CODES.has(code);
    return new Failure(
      mayHaveBeenSent
        ? ErrorKind.UPSTREAM_FAILED
        : ErrorKind.UPSTREAM_UNAVAILABLE,
      `call to ${service} failed: ${code}`,
      mayHaveBeenSent ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO,
      RETRY_AFTER_MS,
    );
  }
}
