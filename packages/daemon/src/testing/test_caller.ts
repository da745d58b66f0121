import {randomBytes} from 'node:crypto';
import {expectedAnswer} from '@parsleywood/stand-ins';
import {Agent, request} from 'undici';
import {readStream} from './read_stream.js';

const ANSWER_TOKENS = 20;
const HEADERS = {
  authorization: 'Bearer test-key-one',
  'content-type': 'application/json',
};

/** Load generator over persistent connections; caches the host list for `keepForMs`. */
export class TestCaller {
  /** Descriptions of failed requests and wrong responses. */
  readonly faults: string[] = [];
  /** Idempotency keys of the orders sent. */
  readonly keys: string[] = [];
  /** Number of requests that completed without an exception. */
  answered = 0;
  private readonly agent = new Agent({connections: 1});
  private addresses: string[];
  private cachedUntilMs = 0;
  private stopped = false;

  constructor(
    urls: readonly string[],
    private readonly kind: 'stream' | 'whole' | 'levels' | 'order',
  ) {
    this.addresses = [...urls];
  }

  /** Sends requests sequentially until `stop()` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        await this.refreshHosts();
        await this.send();
      } catch (error) {
        this.faults.push(`${this.kind}: ${String(error)}`);
      }
    }
    await this.agent.close();
  }

  /** Makes `run()` end after the request in flight. */
  stop(): void {
    this.stopped = true;
  }

  private async refreshHosts(): Promise<void> {
    if (performance.now() < this.cachedUntilMs) return;
    const {hosts, keepForMs} = JSON.parse(
      await this.ask('GET', '/v1/hosts'),
    ) as {
      hosts: {address: string}[];
      keepForMs: number;
    };
    this.addresses = hosts.map(({address}) => `http://${address}`);
    this.cachedUntilMs = performance.now() + keepForMs;
  }

  private async send(): Promise<void> {
    switch (this.kind) {
      case 'levels':
        await this.ask('GET', '/v1/services/test-app/levels');
        break;
      case 'order':
        await this.order();
        break;
      default:
        await this.complete(this.kind === 'stream');
    }
    this.answered++;
  }

  private async order(): Promise<void> {
    const key = createUuidV7();
    this.keys.push(key);
    await this.ask('POST', '/v1/services/test-app/orders', {pallets: 1}, key);
  }

  private async complete(stream: boolean): Promise<void> {
    const prompt = `question ${this.answered}`;
    const text = await this.ask('POST', '/v1/completions', {
      model: 'test-llm',
      prompt,
      max_tokens: ANSWER_TOKENS,
      stream,
    });
    const got = stream ? readStream(text) : readText(text);
    const expected = expectedAnswer(prompt, ANSWER_TOKENS);
    if (got !== expected) this.faults.push(`${this.kind}: got ${text}`);
  }

  private async ask(
    method: 'GET' | 'POST',
    path: string,
    body?: object,
    key?: string,
  ): Promise<string> {
    const answer = await request(`${this.addresses[0] ?? ''}${path}`, {
      method,
      dispatcher: this.agent,
      headers: {...HEADERS, ...(key ? {'idempotency-key': key} : {})},
      ...(body ? {body: JSON.stringify(body)} : {}),
    });
    const text = await answer.body.text();
    if (answer.statusCode < 300) return text;
    throw new Error(`${answer.statusCode} ${text}`);
  }
}

function readText(text: string): string {
  const answer = JSON.parse(text) as {choices: {text: string}[]};
  return answer.choices[0]?.text ?? '';
}

/** Creates a UUID version 7, whose first 48 bits are the current time. */
function createUuidV7(): string {
  const time = Date.now().toString(16).padStart(12, '0');
  const random = randomBytes(9).toString('hex');
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${random.slice(0, 3)}`,
    `8${random.slice(3, 6)}`,
    random.slice(6, 18),
  ].join('-');
}
