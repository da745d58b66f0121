import {setTimeout as pause} from 'node:timers/promises';
import {expectedAnswer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {readStream} from '../testing/read_stream.js';
import {TestCaller} from '../testing/test_caller.js';
import {TestSite} from '../testing/test_site.js';

const HOSTS = 3;
const CALLERS_PER_KIND = 2;
const KINDS = ['stream', 'whole', 'levels', 'order'] as const;
const SETTLE_MS = 300;
const RESENT_ORDERS = 40;
const SLOW_FACTOR = 50;
const STREAM_TOKENS = 800;
const DELISTING_DELAY_MS = 900;
const HEADERS = {
  authorization: 'Bearer test-key-one',
  'content-type': 'application/json',
};

describe('graceful stop', () => {
  let site: TestSite;
  let callers: TestCaller[] = [];
  before(async () => {
    site = await TestSite.start(HOSTS, 2);
  });
  after(() => site.stop());

  it('replaces every host under load without interrupting or refusing a request', async () => {
    callers = KINDS.flatMap(kind =>
      Array.from(
        {length: CALLERS_PER_KIND},
        () => new TestCaller(site.urls, kind),
      ),
    );
    const runs = callers.map(caller => caller.run());
    await pause(SETTLE_MS);
    for (let host = 0; host < HOSTS; host++) {
      await site.replaceHost(host);
      await pause(SETTLE_MS);
    }
    callers.forEach(caller => {
      caller.stop();
    });
    await Promise.all(runs);
    expect(callers.flatMap(({faults}) => faults)).to.eql([]);
    expect(Math.min(...callers.map(({answered}) => answered))).to.be.above(20);
    const keys = callers.flatMap(caller => caller.keys);
    expect(await countExecutions(keys)).to.eql(keys.map(() => 1));
  });

  it('does not execute an order again that an earlier incarnation executed', async () => {
    const keys = callers.flatMap(caller => caller.keys).slice(-RESENT_ORDERS);
    const send = async (url: string, key: string) => {
      const answer = await fetch(`${url}/v1/services/test-app/orders`, {
        method: 'POST',
        headers: {...HEADERS, 'idempotency-key': key},
        body: JSON.stringify({pallets: 1}),
      });
      await answer.arrayBuffer();
    };
    for (const url of site.urls) {
      await Promise.all(keys.map(key => send(url, key)));
    }
    expect(await countExecutions(keys)).to.eql(keys.map(() => 1));
  });

  it('finishes a long stream, serves late requests and directs callers to other hosts', async () => {
    await setSlowFactor(SLOW_FACTOR);
    const drained = site.urls[2] ?? '';
    const prompt = 'a long answer';
    const stream = complete(drained, prompt, STREAM_TOKENS);
    await pause(SETTLE_MS);
    const operators = site.operators[0] ?? '';
    const url = `${operators}/v1/hosts/host-3/drain`;
    expect((await fetch(url, {method: 'POST'})).status).to.equal(202);
    const stopped = site.stopHost(2); // returns the promise of the stop in progress
    await pause(DELISTING_DELAY_MS);
    expect(await findHostsListing(new URL(drained).host)).to.eql([]);
    const late = await complete(drained, 'a late question', 3);
    expect(late).to.eql({
      text: expectedAnswer('a late question', 3),
      connection: 'close',
    });
    const {text} = await stream;
    expect(text).to.equal(expectedAnswer(prompt, STREAM_TOKENS));
    await stopped;
    expect(site.exitCodes).to.eql([0]);
    await setSlowFactor(1);
  });

  /** Returns the hosts whose host list still contains an address. */
  async function findHostsListing(address: string): Promise<string[]> {
    const answers = await Promise.all(
      site.urls.map(async url => {
        const answer = await fetch(`${url}/v1/hosts`, {headers: HEADERS});
        return {url, text: await answer.text()};
      }),
    );
    return answers
      .filter(({text}) => text.includes(address))
      .map(({url}) => url);
  }

  async function setSlowFactor(slowFactor: number): Promise<void> {
    for (const {url} of site.engines) {
      await fetch(`${url}/faults`, {
        method: 'POST',
        headers: HEADERS,
        body: JSON.stringify({slowFactor}),
      });
    }
  }

  async function countExecutions(keys: readonly string[]): Promise<number[]> {
    const answer = await fetch(`${site.service.url}/executions`);
    const done = (await answer.json()) as {key: string; count: number}[];
    const counts = new Map(done.map(({key, count}) => [key, count]));
    return keys.map(key => counts.get(key) ?? 0);
  }
});

/** Requests a streamed completion and reads it to its end. */
async function complete(
  url: string,
  prompt: string,
  tokens: number,
): Promise<{text: string; connection: string | null}> {
  const answer = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: HEADERS,
    body: JSON.stringify({
      model: 'test-llm',
      prompt,
      max_tokens: tokens,
      stream: true,
    }),
  });
  const text = readStream(await answer.text());
  return {text, connection: answer.headers.get('connection')};
}
