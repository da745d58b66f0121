import type {ServerResponse} from 'node:http';
import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import {Result} from 'true-myth';
import {handlePendingInput} from '../host/handle_pending_input.js';
import {hasCallerLeft} from './has_caller_left.js';
import type {OrderDesk} from '../control/order_desk.js';
import {readOutcome} from '../peers/read_outcome.js';
import type {ServiceAnswer} from '../upstreams/service_answer.js';
import type {ServiceCall} from './service_call.js';
import type {Serving} from '../host/serving.js';
import {writeFailure} from './write_failure.js';

const MAX_ATTEMPTS = 3;

/**
 * Runs one validated service call. A repeatable call is retried on other
 * upstreams; any other call runs as an order.
 */
export class ServiceSession {
  /** Whether the last attempt found an upstream that was not tried before. */
  private hasUntriedUpstream = true;

  constructor(
    private readonly serving: Serving,
    private readonly orders: OrderDesk,
    private readonly call: ServiceCall,
    private readonly response: ServerResponse,
  ) {}

  start(): void {
    void this.run();
  }

  private async run(): Promise<void> {
    const result = this.call.repeatable
      ? await this.sendWithRetries()
      : readOutcome(await this.orders.run(this.call, false));
    if (result.isOk) {
      this.answer(result.value);
    } else {
      this.fail(result.error);
    }
  }

  private async sendWithRetries(): Promise<Result<ServiceAnswer, Failure>> {
    const tried: string[] = [];
    let mayHaveRun = false;
    for (;;) {
      const result = await this.sendToUntriedUpstream(tried);
      if (result.isOk) return result;
      await handlePendingInput();
      mayHaveRun ||= result.error.ran !== ExecutionStatus.NO;
      if (tried.length >= MAX_ATTEMPTS || !this.mayRetry(result.error)) {
        const {kind, message, retryAfterMs} = result.error;
        const ran = mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
        return Result.err(new Failure(kind, message, ran, retryAfterMs));
      }
    }
  }

  private mayRetry(failure: Failure): boolean {
    if (failure.kind === ErrorKind.TIME_LIMIT) return false;
    if (failure.kind === ErrorKind.REQUEST_CRASHES_UPSTREAM) return false;
    if (hasCallerLeft(this.response)) return false;
    if (!this.hasUntriedUpstream) return false;
    return this.serving.retries.tryRetry();
  }

  private async sendToUntriedUpstream(
    tried: string[],
  ): Promise<Result<ServiceAnswer, Failure>> {
    const {serving, call} = this;
    const upstream = serving.chooseService(call.service, tried);
    this.hasUntriedUpstream = upstream !== undefined;
    if (upstream === undefined) return serving.refuseUnavailable(call.service);
    tried.push(upstream.name);
    const limitMs = call.deadlineMs - serving.clock.nowMs();
    return serving.sendToService(call, upstream, limitMs);
  }

  private answer(answer: ServiceAnswer): void {
    if (!this.response.destroyed) {
      this.response.writeHead(answer.status, {
        ...this.serving.replyHead(this.call.requestId),
        'content-type': answer.contentType,
        'content-length': String(answer.body.length),
      });
      this.response.end(answer.body);
    }
    this.serving.retries.recordSuccess();
    this.serving.conclude('service', 'ok', this.call.requestId);
  }

  private fail(failure: Failure): void {
    const {requestId} = this.call;
    const headers = this.serving.replyHead(requestId);
    writeFailure(this.response, failure, requestId, headers);
    this.serving.conclude('service', failure.kind, requestId);
  }
}
