import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const HOSTS = 3;
const ENGINES = 4;
const CONCURRENT_REQUESTS = 12;
const ANSWER_TOKENS = 400;
const MAX_CRASHES = 2;

describe('request that crashes engines', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(HOSTS, ENGINES);
    for (const engine of site.engines) {
      await fetch(`${engine.url}/faults`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({crashOnMarker: 'CRASHING'}),
      });
    }
  });
  after(() => site.stop());

  it('crashes at most two engines, fails on every host, and concurrent requests complete', async () => {
    const concurrent = Array.from({length: CONCURRENT_REQUESTS}, (_, index) =>
      send(index % HOSTS, `neighbour ${index}`),
    );
    const answers = [];
    for (const host of [0, 1, 2, 0]) answers.push(await send(host, 'CRASHING'));
    expect(answers).to.eql(answers.map(() => '422 request_crashes_upstream'));
    expect(await Promise.all(concurrent)).to.eql(
      concurrent.map(() => `200 ${ANSWER_TOKENS}`),
    );
    expect(await countCrashes()).to.be.within(1, MAX_CRASHES);
  });

  it('does not block other requests on hosts that learned of it from peers', async () => {
    expect(await send(2, 'harmless')).to.equal(`200 ${ANSWER_TOKENS}`);
  });

  /** Sends a request to a host; returns the status and the error kind or number of tokens. */
  async function send(host: number, content: string): Promise<string> {
    const answer = await fetch(`${site.urls[host] ?? ''}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer test-key-one',
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: 'test-llm',
        messages: [{role: 'user', content}],
        max_tokens: ANSWER_TOKENS,
      }),
    });
    const body = (await answer.json()) as {
      error?: {kind: string};
      choices?: {message: {content: string}}[];
    };
    const words = body.choices?.[0]?.message.content.split(' ').length;
    return `${answer.status} ${body.error?.kind ?? words ?? ''}`;
  }

  async function countCrashes(): Promise<number> {
    let crashes = 0;
    for (const engine of site.engines) {
      const answer = await fetch(`${engine.url}/state`);
      crashes += ((await answer.json()) as {crashes: number}).crashes;
    }
    return crashes;
  }
});
