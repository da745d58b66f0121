import type {ErrorBody} from '@parsleywood/errors';
import {HttpAgent} from '@parsleywood/http';
import type {Explanation} from '@parsleywood/schema/explanation';
import type {TimelineEntry} from '@parsleywood/timeline';
import {CommandFailure} from './command_failure.js';
import {ExitCode} from './exit_code.js';
import type {SiteStatus} from './site_status.js';

const REQUEST_TIMEOUT_MS = 10_000;
const MIN_ERROR_STATUS = 400;

/**
 * HTTP client for the operators' API of one host. Failed calls throw a
 * `CommandFailure`.
 */
export class HostClient {
  private readonly agent = new HttpAgent();

  constructor(private readonly address: string) {}

  readStatus(): Promise<SiteStatus> {
    return this.call('GET', '/v1/status');
  }

  drain(host: string): Promise<{host: string; state: string}> {
    return this.call('POST', `/v1/hosts/${encodeURIComponent(host)}/drain`);
  }

  readTimeline(query: {
    request?: string;
    afterMs?: number;
    limit?: number;
  }): Promise<{events: TimelineEntry[]}> {
    return this.call('GET', `/v1/timeline${formatQuery(query)}`);
  }

  /** Asks, at the host's metrics or readiness address, where a request would go. */
  explain(
    query: Readonly<Record<string, string | undefined>>,
  ): Promise<Explanation> {
    return this.call('GET', `/v1/explain${formatQuery(query)}`);
  }

  readConfiguration(): Promise<{
    revision: {base: number; overlay: number};
    settings: unknown;
  }> {
    return this.call('GET', '/v1/configuration');
  }

  private async call<T>(method: 'GET' | 'POST', path: string): Promise<T> {
    const {status, text} = await this.send(method, path);
    const body = this.parseBody(text, status);
    if (status < MIN_ERROR_STATUS) return body as T;
    const message = this.formatError(status, body);
    // A host without the route repeats the whole path; the query may hold a key.
    const [withoutQuery = ''] = path.split('?', 1);
    throw new CommandFailure(
      ExitCode.FAILED,
      message.replaceAll(path, withoutQuery),
    );
  }

  private async send(method: 'GET' | 'POST', path: string) {
    try {
      const response = await this.agent.request({
        origin: `http://${this.address}`,
        path,
        method,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return {status: response.statusCode, text: await response.body.text()};
    } catch (error) {
      const {code, message} = error as NodeJS.ErrnoException;
      const reason = code ?? message;
      throw new CommandFailure(
        ExitCode.UNREACHABLE,
        `host ${this.address} cannot be reached (${reason})`,
      );
    }
  }

  private parseBody(text: string, status: number): unknown {
    try {
      return JSON.parse(text);
    } catch {
      const reason = `answered ${status} with a body that is not JSON`;
      throw new CommandFailure(
        ExitCode.FAILED,
        `host ${this.address} ${reason}; is this its operators' address?`,
      );
    }
  }

  private formatError(status: number, body: unknown): string {
    const error = (body as Partial<ErrorBody> | null)?.error;
    if (error === undefined) return `host ${this.address} answered ${status}`;
    const retryAfterMs = error.retryAfterMs;
    const hint =
      retryAfterMs === undefined ? '' : `; retry after ${retryAfterMs} ms`;
    const {kind, message} = error;
    return `host ${this.address} answered ${status} ${kind}: ${message}${hint}`;
  }
}

function formatQuery(
  query: Readonly<Record<string, string | number | undefined>>,
): string {
  const parameters = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) parameters.set(name, String(value));
  }
  return parameters.size === 0 ? '' : `?${parameters.toString()}`;
}
