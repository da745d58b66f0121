import {readFileSync, writeFileSync} from 'node:fs';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const GOLDEN = new URL('../../golden/session.json', import.meta.url);
const AUTHORIZATION = {authorization: 'Bearer test-key-one'};

/** One request and its response, with values that differ between runs normalized. */
interface Exchange {
  readonly title: string;
  readonly status: number;
  readonly answer: string;
}

describe('recorded session', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(2);
  });
  after(() => site.stop());

  it('matches the golden file', async () => {
    const session = [
      await sendRequest('short question, streamed', '/v1/chat/completions', {
        body: chat('how tight is the gap', 4, true),
      }),
      await sendRequest('short question, whole', '/v1/completions', {
        body: {
          model: 'test-llm',
          prompt: 'how tight is the gap',
          max_tokens: 3,
        },
      }),
      await sendRequest('long prompt, streamed', '/v1/chat/completions', {
        body: chat('log line. '.repeat(40_000), 3, true),
      }),
      await sendRequest(
        'repeatable service call',
        '/v1/services/test-app/levels',
      ),
      await sendRequest(
        'order',
        '/v1/services/test-app/orders',
        order('key-1'),
      ),
      await sendRequest(
        'order again',
        '/v1/services/test-app/orders',
        order('key-1'),
      ),
      await sendRequest('order without key', '/v1/services/test-app/orders', {
        body: {},
      }),
      await sendRequest('unknown model', '/v1/chat/completions', {
        body: {...chat('hello', 1, false), model: 'other'},
      }),
      await sendRequest('no such address', '/v2/none'),
    ];
    if (process.env['UPDATE_GOLDEN'] === '1') {
      writeFileSync(GOLDEN, `${JSON.stringify(session, null, 2)}\n`);
    }
    expect(session).to.eql(JSON.parse(readFileSync(GOLDEN, 'utf8')));
  });

  async function sendRequest(
    title: string,
    path: string,
    request: {body?: object; headers?: Record<string, string>} = {},
  ): Promise<Exchange> {
    const answer = await fetch(`${site.urls[0] ?? ''}${path}`, {
      method: request.body ? 'POST' : 'GET',
      headers: {
        ...AUTHORIZATION,
        ...(request.body ? {'content-type': 'application/json'} : {}),
        ...request.headers,
      },
      ...(request.body ? {body: JSON.stringify(request.body)} : {}),
    });
    const text = normalize(await answer.text());
    return {title, status: answer.status, answer: text};
  }
});

function chat(content: string, tokens: number, stream: boolean): object {
  const messages = [{role: 'user', content}];
  return {model: 'test-llm', messages, max_tokens: tokens, stream};
}

function order(key: string): {body: object; headers: Record<string, string>} {
  return {body: {pallets: 2}, headers: {'idempotency-key': key}};
}

function normalize(text: string): string {
  return text
    .replaceAll(/host-1-[0-9a-f]{6}-[0-9a-z]+/g, 'REQUEST')
    .replaceAll(/"created":\d+/g, '"created":0');
}
