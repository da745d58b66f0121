import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import type {HostMetrics} from '../host/host_metrics.js';
import type {PublishedValue} from './published_value.js';

/** Longest wait for an answer beyond the wait asked for, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;

/** Reads and watches values at the configuration service. */
export class PlatformClient {
  private readonly agent = new Agent({
    connect: {timeout: ANSWER_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: ANSWER_TIMEOUT_MS,
  });

  constructor(
    private readonly url: string,
    private readonly metrics: HostMetrics,
  ) {}

  /** Reads a value; 0 when the key has none. */
  async read(key: string): Promise<Result<PublishedValue | number, Failure>> {
    return this.count('read', await this.fetch(key, '', 0));
  }

  /**
   * Waits for a value newer than a revision.
   *
   * @return The revision that the service holds when none came within waitMs;
   *     0 when it holds no value.
   */
  async watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<PublishedValue | number, Failure>> {
    const query = `?after=${afterRevision}&waitMs=${Math.round(waitMs)}`;
    return this.count('watch', await this.fetch(key, query, waitMs));
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private count(
    call: string,
    result: Result<PublishedValue | number, Failure>,
  ): Result<PublishedValue | number, Failure> {
    const outcome = result.isOk ? 'ok' : 'failed';
    this.metrics.platformCalls.inc({call, outcome});
    return result;
  }

  private async fetch(
    key: string,
    query: string,
    waitMs: number,
  ): Promise<Result<PublishedValue | number, Failure>> {
    try {
      const answer = await request(`${this.url}/values/${key}${query}`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(waitMs + ANSWER_TIMEOUT_MS),
      });
      if (answer.statusCode === 200) {
        return Result.ok((await answer.body.json()) as PublishedValue);
      }
      await answer.body.dump();
      if (answer.statusCode === 404) return Result.ok(0);
      if (answer.statusCode === 304) {
        return Result.ok(readRevision(answer.headers.etag));
      }
      return this.fail(key, `status ${answer.statusCode}`);
    } catch (error) {
      return this.fail(key, (error as Error).message);
    }
  }

  private fail(key: string, detail: string): Result<never, Failure> {
    return Result.err(
      new Failure(
        ErrorKind.UPSTREAM_UNAVAILABLE,
        `configuration service, value "${key}": ${detail}`,
        ExecutionStatus.UNKNOWN,
      ),
    );
  }
}

/** Revision in an entity tag, such as "17"; 0 when there is none. */
function readRevision(tag: string | string[] | undefined): number {
  const digits = /^"([0-9]+)"$/.exec(String(tag))?.[1];
  return Number(digits ?? 0);
}
