import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const API_KEY = 'authorization: Bearer test-key-one';
const JSON_TYPE = 'content-type: application/json';
const CHAT_REQUEST = 'POST /v1/chat/completions HTTP/1.1';
const ORDER_REQUEST = 'POST /v1/services/test-app/orders HTTP/1.1';

/** Expected status and error kind of a response. */
type Expected = readonly [status: number, kind: string];

describe('malformed and hostile requests', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(1);
  });
  after(() => site.stop());

  const body =
    '{"model":"test-llm","messages":[{"role":"user","content":"x"}]}';
  const cases: [string, string[], string, Expected][] = [
    [
      'malformed JSON',
      [CHAT_REQUEST, API_KEY],
      '{"model',
      [400, 'invalid_request'],
    ],
    [
      'bytes that are not text',
      [CHAT_REQUEST, API_KEY],
      '\u0000\u00ff',
      [400, 'invalid_request'],
    ],
    ['an array', [CHAT_REQUEST, API_KEY], '[]', [400, 'invalid_request']],
    ['null', [CHAT_REQUEST, API_KEY], 'null', [400, 'invalid_request']],
    ['no body', [CHAT_REQUEST, API_KEY], '', [400, 'invalid_request']],
    [
      'a wrong type',
      [CHAT_REQUEST, API_KEY],
      '{"model":"test-llm","messages":"x"}',
      [400, 'invalid_request'],
    ],
    [
      'a negative count',
      [CHAT_REQUEST, API_KEY],
      body.replace('{', '{"max_tokens":-1,'),
      [400, 'invalid_request'],
    ],
    [
      'an unknown model',
      [CHAT_REQUEST, API_KEY],
      body.replace('test', 'no'),
      [404, 'unknown_model'],
    ],
    [
      'a request without API key',
      [CHAT_REQUEST],
      body,
      [401, 'unauthenticated'],
    ],
    [
      'an unknown API key',
      [CHAT_REQUEST, 'authorization: Bearer x'],
      body,
      [401, 'unauthenticated'],
    ],
    [
      'an unsupported authorization scheme',
      [CHAT_REQUEST, 'authorization: Basic x'],
      body,
      [401, 'unauthenticated'],
    ],
    [
      'a negative time limit',
      [CHAT_REQUEST, API_KEY, 'request-timeout-ms: -5'],
      body,
      [400, 'invalid_request'],
    ],
    [
      'a non-numeric time limit',
      [CHAT_REQUEST, API_KEY, 'request-timeout-ms: soon'],
      body,
      [400, 'invalid_request'],
    ],
    [
      'a time limit above the maximum',
      [CHAT_REQUEST, API_KEY, 'request-timeout-ms: 600001'],
      body,
      [400, 'invalid_request'],
    ],
    [
      'max_tokens beyond the memory of all engines',
      [CHAT_REQUEST, API_KEY],
      body.replace(/^\{/, '{"max_tokens":1000000000000,'),
      [400, 'prompt_too_long'],
    ],
    [
      'an oversized header',
      [CHAT_REQUEST, API_KEY, `x-long: ${'x'.repeat(20_000)}`],
      body,
      [431, 'headers_too_large'],
    ],
    [
      'an oversized body',
      [CHAT_REQUEST, API_KEY],
      'x'.repeat(6_000_001),
      [413, 'body_too_large'],
    ],
    [
      'an order without idempotency key',
      [ORDER_REQUEST, API_KEY],
      '{}',
      [400, 'idempotency_key_missing'],
    ],
    [
      'an order with an empty idempotency key',
      [ORDER_REQUEST, API_KEY, 'idempotency-key:  '],
      '{}',
      [400, 'idempotency_key_missing'],
    ],
    [
      'an order with an oversized idempotency key',
      [ORDER_REQUEST, API_KEY, `idempotency-key: ${'k'.repeat(257)}`],
      '{}',
      [400, 'invalid_request'],
    ],
    [
      'an unknown service call',
      ['POST /v1/services/test-app/bins HTTP/1.1', API_KEY],
      '{}',
      [404, 'unknown_call'],
    ],
    [
      'an unknown service',
      ['GET /v1/services/none/levels HTTP/1.1', API_KEY],
      '',
      [404, 'unknown_call'],
    ],
    [
      'a path traversal',
      ['GET /v1/services/test-app/../../x HTTP/1.1', API_KEY],
      '',
      [400, 'invalid_request'],
    ],
    [
      'an encoded path separator',
      ['POST /v1/services/test-app/levels%2f..%2forders HTTP/1.1', API_KEY],
      '{}',
      [400, 'invalid_request'],
    ],
    [
      'a dot segment in the path',
      ['POST /v1/services/test-app/levels/../orders HTTP/1.1', API_KEY],
      '{}',
      [400, 'invalid_request'],
    ],
    [
      'a request that is not HTTP',
      ['hello there'],
      '',
      [400, 'invalid_request'],
    ],
  ];

  for (const [title, head, content, expected] of cases) {
    it(`answers ${title} with ${expected.join(' ')}`, async () => {
      const length = Buffer.byteLength(content);
      const lines = [...head, JSON_TYPE, `content-length: ${length}`];
      expect(await exchange(lines, content)).to.eql(expected);
    });
  }

  it('answers an incomplete body with 408 after the body timeout', async () => {
    const lines = [CHAT_REQUEST, API_KEY, JSON_TYPE, 'content-length: 500'];
    expect(await exchange(lines, '{"model"')).to.eql([408, 'body_timeout']);
  });

  it('stays ready and forwards none of these requests to an upstream', async () => {
    const engine = await fetch(`${site.engineUrl}/v1/load`);
    const executions = await fetch(`${site.service.url}/executions`);
    expect(await engine.json()).to.include({running: 0, usedTokens: 0});
    expect(await executions.json()).to.eql([]);
    const ready = await fetch(`${site.operators[0] ?? ''}/readyz`);
    expect(ready.status).to.equal(200);
  });

  it('does not serve peer and operator calls on the callers’ port', async () => {
    for (const path of [
      '/metrics',
      '/v1/status',
      '/parsleywood.v1.Peer/Drain',
    ]) {
      const lines = [`POST ${path} HTTP/1.1`, API_KEY, 'content-length: 0'];
      expect(await exchange(lines, '')).to.eql([404, 'not_found']);
    }
  });

  /** Sends a raw request; returns the status and error kind of the response. */
  async function exchange(
    lines: readonly string[],
    content: string,
  ): Promise<[number, string]> {
    const {hostname, port} = new URL(site.urls[0] ?? '');
    const socket = connect(Number(port), hostname);
    await once(socket, 'connect');
    const [first = '', ...rest] = lines;
    const head = [first, `host: ${hostname}`, 'connection: close', ...rest];
    socket.on('error', () => undefined);
    socket.write(`${head.join('\r\n')}\r\n\r\n${content}`);
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    await new Promise(resolve => {
      socket.once('close', resolve);
    });
    const status = Number(text.split(' ')[1]);
    const answer = JSON.parse(text.slice(text.indexOf('\r\n\r\n'))) as {
      error: {kind: string};
    };
    return [status, answer.error.kind];
  }
});
