import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const HOSTS = 3;
const ENGINES = 4;
const NEIGHBOURS = 12;
const ANSWER_TOKENS = 400;
const MAX_CRASHES = 2;

describe('a request that crashes engines', () => {
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

  it('crashes two at most, ends everywhere, and its neighbours finish', async () => {
    const neighbours = Array.from({length: NEIGHBOURS}, (_, index) =>
      ask(index % HOSTS, `neighbour ${index}`),
    );
    const answers = [];
    for (const host of [0, 1, 2, 0]) answers.push(await ask(host, 'CRASHING'));
    expect(answers).to.eql(answers.map(() => '422 request_crashes_upstream'));
    expect(await Promise.all(neighbours)).to.eql(
      neighbours.map(() => `200 ${ANSWER_TOKENS}`),
    );
    expect(await countCrashes()).to.be.within(1, MAX_CRASHES);
  });

  it('tells peers, and judges other requests by their own deeds', async () => {
    expect(await ask(2, 'harmless')).to.equal(`200 ${ANSWER_TOKENS}`);
  });

  /** Asks a host; gives the status, and error kind or number of tokens. */
  async function ask(host: number, content: string): Promise<string> {
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
