import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {Agent, request, type Dispatcher} from 'undici';
import type {CallResult} from './call_result.js';
import type {CompletionResult} from './completion_result.js';

const DONE = '[DONE]';
const JSON_TYPE = 'application/json';

interface ErrorAnswer {
  readonly error?: {readonly kind?: string; readonly ran?: string};
}

interface Chunk extends ErrorAnswer {
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string | null};
  }[];
}

/** A caller of a site's entry hosts. */
export class CallerClient {
  private readonly agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 1_000,
  });

  /**
   * @param key Bearer key of the client account.
   */
  constructor(private readonly key: string) {}

  /** Asks a host which addresses to use. */
  async listHosts(host: string): Promise<string[]> {
    const answer = await this.send(`${host}/v1/hosts`, 'GET');
    const {hosts} = (await answer.body.json()) as {
      hosts: readonly {readonly address: string}[];
    };
    return hosts.map(({address}) => `http://${address}`);
  }

  /** Streams the answer to one question. */
  async complete(
    host: string,
    question: string,
    maxTokens: number,
    limitMs: number,
    model = 'demo-llm',
  ): Promise<CompletionResult> {
    const messages = [{role: 'user', content: question}];
    const body = {model, messages, max_tokens: maxTokens, stream: true};
    const startMs = performance.now();
    const reading = new StreamReading();
    let status = 0;
    let headers: Dispatcher.ResponseData['headers'] = {};
    try {
      const url = `${host}/v1/chat/completions`;
      const more = {'request-timeout-ms': String(limitMs)};
      const answer = await this.send(url, 'POST', body, more);
      status = answer.statusCode;
      headers = answer.headers;
      if (status === 200) await reading.read(answer.body);
      else reading.fail(await answer.body.json());
    } catch (error) {
      reading.fail({error: {kind: `connection: ${String(error)}`}});
    }
    return {
      ...reading.result(startMs),
      status,
      totalMs: performance.now() - startMs,
      host: String(headers['parsleywood-host'] ?? ''),
      requestId: String(headers['parsleywood-request-id'] ?? ''),
    };
  }

  /** Calls a service, with an idempotency key for an order. */
  async call(
    host: string,
    method: Dispatcher.HttpMethod,
    path: string,
    options: {idempotencyKey?: string; body?: object; limitMs?: number} = {},
  ): Promise<CallResult> {
    const startMs = performance.now();
    const {idempotencyKey, body, limitMs} = options;
    const headers = {
      ...(idempotencyKey ? {'idempotency-key': idempotencyKey} : {}),
      ...(limitMs ? {'request-timeout-ms': String(limitMs)} : {}),
    };
    try {
      const url = `${host}/v1/services/${path}`;
      const answer = await this.send(url, method, body, headers);
      const text = await answer.body.text();
      return {
        status: answer.statusCode,
        body: text,
        totalMs: performance.now() - startMs,
        host: String(answer.headers['parsleywood-host'] ?? ''),
        ...readError(answer.statusCode, text),
      };
    } catch (error) {
      const errorKind = `connection: ${String(error)}`;
      const totalMs = performance.now() - startMs;
      return {status: 0, body: '', totalMs, host: '', errorKind};
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private send(
    url: string,
    method: Dispatcher.HttpMethod,
    body?: object,
    headers: Record<string, string> = {},
  ): Promise<Dispatcher.ResponseData> {
    return request(url, {
      method,
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.key}`,
        ...(body ? {'content-type': JSON_TYPE} : {}),
        ...headers,
      },
      body: body ? JSON.stringify(body) : null,
    });
  }
}

/** Collects the events of one stream. */
class StreamReading {
  private text = '';
  private whole = false;
  private firstAtMs = NaN;
  private error: ErrorAnswer['error'];

  async read(body: Dispatcher.ResponseData['body']): Promise<void> {
    const parser = createParser({onEvent: event => this.take(event)});
    body.setEncoding('utf8');
    for await (const chunk of body) parser.feed(String(chunk));
  }

  fail(answer: unknown): void {
    this.error = (answer as ErrorAnswer).error;
  }

  result(
    startMs: number,
  ): Pick<
    CompletionResult,
    'text' | 'whole' | 'firstTokenMs' | 'errorKind' | 'ran'
  > {
    const {kind: errorKind, ran} = this.error ?? {};
    return {
      text: this.text,
      whole: this.whole && this.error === undefined,
      firstTokenMs: this.firstAtMs - startMs,
      ...(errorKind === undefined ? {} : {errorKind}),
      ...(ran === undefined ? {} : {ran}),
    };
  }

  private take(event: EventSourceMessage): void {
    if (event.data === DONE) {
      this.whole = true;
      return;
    }
    const chunk = JSON.parse(event.data) as Chunk;
    if (chunk.error) this.error = chunk.error;
    const content = chunk.choices?.[0]?.delta?.content;
    if (!content) return;
    if (this.text === '') this.firstAtMs = performance.now();
    this.text += content;
  }
}

function readError(
  status: number,
  text: string,
): Pick<CallResult, 'errorKind' | 'ran'> {
  if (status < 400) return {};
  try {
    const {kind, ran} = (JSON.parse(text) as ErrorAnswer).error ?? {};
    return {
      ...(kind === undefined ? {} : {errorKind: kind}),
      ...(ran === undefined ? {} : {ran}),
    };
  } catch {
    return {};
  }
}
