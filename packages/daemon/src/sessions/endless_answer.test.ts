import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {writeEndlessly} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const LIMIT_MS = 3_000;
const MARGIN_MS = 1_000;
const MAX_BYTES = 32 * 1_048_576;
const PART = 'x'.repeat(16_384);
const OK_HEAD = 'HTTP/1.1 200 OK\r\n';
const STREAM_HEAD = `${OK_HEAD}content-type: text/event-stream\r\n\r\n`;
const SETTLE_MS = 1_500;

/** Describes the next bytes of an answer to an attempt. */
type Answer = (count: number, attempt: string) => string;

const ANSWERS: Record<string, Answer> = {
  'a head': count => (count === 0 ? OK_HEAD : `x-${count}: ${PART}\r\n`),
  'a body': count => (count === 0 ? `${OK_HEAD}\r\n` : PART),
  'an error body': count =>
    count === 0 ? 'HTTP/1.1 500 Failed\r\n\r\n' : PART,
  'one event': count => (count === 0 ? `${STREAM_HEAD}data: ` : PART),
  events: (count, attempt) => {
    if (count === 0) return STREAM_HEAD;
    const event = {attempt, position: count - 1, text: PART};
    return `data: ${JSON.stringify(event)}\n\n`;
  },
};

describe('answer without end', () => {
  let site: TestSite;
  let server: Server;
  let answer: Answer | undefined;
  let sentBytes: Promise<number>[] = [];

  before(async () => {
    site = await TestSite.start(1);
    server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        if (answer === undefined || isControlCall(request)) response.end('{}');
        else sentBytes.push(writeAnswer(request, answer));
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const upstream = {
      address: `127.0.0.1:${port}`,
      failureDomain: 'domain-1',
      state: 'live',
    };
    await site.put('upstreams/test-site', {
      upstreams: [
        {...upstream, name: 'engine-x', kind: 'engine', serves: 'test-llm'},
        {...upstream, name: 'service-x', kind: 'service', serves: 'test-app'},
      ],
    });
    await pause(SETTLE_MS);
  });

  after(async () => {
    server.closeAllConnections();
    server.close();
    await site.stop();
  });

  beforeEach(() => {
    sentBytes = [];
  });

  for (const name of Object.keys(ANSWERS)) {
    it(`of an engine is given up, ${name}`, async () => {
      await expectBounded(name, '/v1/completions', {
        method: 'POST',
        body: JSON.stringify({model: 'test-llm', prompt: name}),
      });
    });

    it(`of a service is given up, ${name}`, async () => {
      await expectBounded(name, '/v1/services/test-app/levels', {});
    });
  }

  async function expectBounded(
    name: string,
    path: string,
    init: RequestInit,
  ): Promise<void> {
    answer = ANSWERS[name];
    const beganMs = performance.now();
    const response = await fetch(`${site.urls[0] ?? ''}${path}`, {
      ...init,
      headers: {
        authorization: 'Bearer test-key-one',
        'content-type': 'application/json',
        'request-timeout-ms': String(LIMIT_MS),
      },
    });
    await response.arrayBuffer();
    const tookMs = performance.now() - beganMs;
    answer = undefined;
    expect(response.status).to.be.oneOf([502, 503, 504]);
    expect(tookMs).to.be.below(LIMIT_MS + MARGIN_MS);
    expect(sentBytes).to.not.have.length(0);
    for (const bytes of await Promise.all(sentBytes)) {
      expect(bytes).to.be.below(MAX_BYTES);
    }
    // The failures have the upstream probed, which must be usable again.
    await pause(SETTLE_MS);
  }
});

function isControlCall({url = ''}: IncomingMessage): boolean {
  return /^\/(healthz|v1\/(load|orders|reservations|cache))/.test(url);
}

async function writeAnswer(
  {headers, socket}: IncomingMessage,
  describe: Answer,
): Promise<number> {
  const attempt = String(headers['parsleywood-attempt'] ?? '');
  return writeEndlessly(socket, count => describe(count, attempt));
}
