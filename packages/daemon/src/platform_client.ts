import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import type {HostMetrics} from './host_metrics.js';
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

  /** Reads a value; undefined when the key has none. */
  async read(
    key: string,
  ): Promise<Result<PublishedValue | undefined, Failure>> {
    return this.count('read', await this.fetch(key, '', 0));
  }

  /**
   * Waits for a value newer than a revision.
   *
   * @return undefined when none came within waitMs.
   */
  async watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<PublishedValue | undefined, Failure>> {
    const query = `?after=${afterRevision}&waitMs=${Math.round(waitMs)}`;
    return this.count('watch', await this.fetch(key, query, waitMs));
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private count(
    call: string,
    result: Result<PublishedValue | undefined, Failure>,
  ): Result<PublishedValue | undefined, Failure> {
    const outcome = result.isOk ? 'ok' : 'failed';
    this.metrics.platformCalls.inc({call, outcome});
    return result;
  }

  private async fetch(
    key: string,
    query: string,
    waitMs: number,
  ): Promise<Result<PublishedValue | undefined, Failure>> {
    try {
      const answer = await request(`${this.url}/values/${key}${query}`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(waitMs + ANSWER_TIMEOUT_MS),
      });
      if (answer.statusCode === 200) {
        return Result.ok((await answer.body.json()) as PublishedValue);
      }
      await answer.body.dump();
      if (answer.statusCode === 304 || answer.statusCode === 404) {
        return Result.ok(undefined);
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
        Ran.UNKNOWN,
      ),
    );
  }
}
