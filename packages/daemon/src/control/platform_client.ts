import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import {HttpAgent} from '@parsleywood/http';
import {Result} from 'true-myth';
import type {HostMetrics} from '../host/host_metrics.js';
import {readStatus} from '../upstreams/read_status.js';
import type {PublishedValue} from './published_value.js';

/** Timeout of a response, in addition to the wait requested of the service. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** HTTP client that reads and watches values of the configuration service. */
export class PlatformClient {
  private readonly agent = new HttpAgent({
    connect: {timeout: RESPONSE_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  constructor(
    private readonly url: string,
    private readonly metrics: HostMetrics,
  ) {}

  /** Reads a value; the result is 0 when the key has none. */
  async read(key: string): Promise<Result<PublishedValue | number, Failure>> {
    return this.countCall('read', await this.fetch(key, '', 0));
  }

  /**
   * Waits up to `waitMs` for a value newer than a revision.
   *
   * @return The newer value. Without one, the revision that the service holds,
   *     or 0 when it holds no value.
   */
  async watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<PublishedValue | number, Failure>> {
    const query = `?after=${afterRevision}&waitMs=${Math.round(waitMs)}`;
    return this.countCall('watch', await this.fetch(key, query, waitMs));
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private countCall(
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
      const {origin, pathname, search} = new URL(
        `${this.url}/values/${key}${query}`,
      );
      const response = await this.agent.request({
        origin,
        path: `${pathname}${search}`,
        method: 'GET',
        signal: AbortSignal.timeout(waitMs + RESPONSE_TIMEOUT_MS),
      });
      if (response.statusCode === 200) {
        const published = decodeValue(await response.body.json(), key);
        return published
          ? Result.ok(published)
          : this.createFailure(key, 'the response is no published value');
      }
      const status = await readStatus(response);
      if (status === 404) return Result.ok(0);
      if (status === 304) {
        const revision = parseRevision(response.headers.etag);
        return revision === undefined
          ? this.createFailure(key, 'the entity tag is no revision')
          : Result.ok(revision);
      }
      return this.createFailure(key, `status ${status}`);
    } catch (error) {
      return this.createFailure(key, (error as Error).message);
    }
  }

  private createFailure(key: string, detail: string): Result<never, Failure> {
    return Result.err(
      new Failure(
        ErrorKind.UPSTREAM_UNAVAILABLE,
        `configuration service: cannot read value "${key}": ${detail}`,
        ExecutionStatus.UNKNOWN,
      ),
    );
  }
}

/**
 * Parses the revision of an entity tag such as "17"; 0 when there is none.
 *
 * @return Undefined for a tag that is no revision, or one that hosts cannot pass on.
 */
function parseRevision(
  entityTag: string | string[] | undefined,
): number | undefined {
  if (entityTag === undefined) return 0;
  const digits = /^"([0-9]+)"$/.exec(String(entityTag))?.[1];
  const revision = Number(digits);
  return Number.isSafeInteger(revision) ? revision : undefined;
}

/** Undefined unless a response has a key and a revision that hosts can pass on. */
function decodeValue(
  content: unknown,
  key: string,
): PublishedValue | undefined {
  if (typeof content !== 'object' || content === null) return undefined;
  const {revision, value} = content as Partial<PublishedValue>;
  if (!Number.isSafeInteger(revision) || Number(revision) < 0) return undefined;
  return {key, revision: Number(revision), value};
}
