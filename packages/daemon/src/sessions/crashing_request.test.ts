import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const HOSTS = 3;
const ENGINES = 4;
const CONCURRENT_REQUESTS = 12;
const ANSWER_TOKENS = 400;
const MAX_CRASHES = 2;
const MAX_SERVICE_CRASHES = 3;
const PROMPTS = 8;
const MAX_PART_CRASHES = 5;
const ENGINE_DOWN_MS = 700;
const SERVICE_CALLS = 6;
/** Time for the service to come back and to be found usable by all hosts. */
const SERVICE_DOWN_MS = 1_500;

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

  it('is refused by hosts that were all replaced since', async () => {
    for (const host of [0, 1, 2]) await site.replaceHost(host);
    const answers = [];
    for (const host of [0, 1, 2]) answers.push(await send(host, 'CRASHING'));
    expect(answers).to.eql(answers.map(() => '422 request_crashes_upstream'));
    expect(await countCrashes()).to.be.within(1, MAX_CRASHES);
  });

  it('crashes five engines at most when only one message of its prompt stays the same', async () => {
    const before = await countCrashes();
    const answers = [];
    for (let at = 0; at < PROMPTS; at++) {
      const [calm, own] = ['calm', `own ${at}`];
      expect(await send(at % HOSTS, own, [calm])).to.equal(
        `200 ${ANSWER_TOKENS}`,
      );
      answers.push(await send(at % HOSTS, own, [calm, 'CRASHING']));
      await pause(ENGINE_DOWN_MS);
    }
    expect(await countCrashes()).to.be.at.most(before + MAX_PART_CRASHES);
    expect(answers.at(-1)).to.equal('422 request_crashes_upstream');
  });

  it('crashes five engines at most when other fields of its body change', async () => {
    const before = await countCrashes();
    const answers = [];
    for (let at = 0; at < PROMPTS; at++) {
      const fields = {user: `user ${at}`, seed: at};
      answers.push(await send(at % HOSTS, 'CRASHING anew', [], fields));
      await pause(ENGINE_DOWN_MS);
    }
    expect(await countCrashes()).to.be.at.most(before + MAX_PART_CRASHES);
    expect(answers.at(-1)).to.equal('422 request_crashes_upstream');
  });

  for (const [name, call] of [
    ['a repeatable service call', {path: '/levels?of=CRASHING'}],
    ['an order', {path: '/orders', body: '{"text": "CRASHING"}'}],
    [
      'a service call with other queries',
      {path: '/levels?of=CRASHING', variesQuery: true},
    ],
  ] as const) {
    it(`as ${name} crashes the service three times at most`, async () => {
      await setServiceFaults({crashOnMarker: 'CRASHING'});
      const before = await countServiceCrashes();
      const answers = [];
      for (let at = 0; at < SERVICE_CALLS; at++) {
        answers.push(await callService(at, call));
        await pause(SERVICE_DOWN_MS);
      }
      expect((await countServiceCrashes()) - before).to.be.within(
        1,
        MAX_SERVICE_CRASHES,
      );
      expect(answers.at(-1)).to.equal(422);
      expect(await callService(0, {path: '/levels'})).to.equal(200);
    });
  }

  async function setServiceFaults(faults: object): Promise<void> {
    const answer = await fetch(`${site.service.url}/faults`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(faults),
    });
    await answer.arrayBuffer();
  }

  /** Calls the service through a host; returns the status. */
  async function callService(
    at: number,
    call: {path: string; body?: string; variesQuery?: boolean},
  ): Promise<number> {
    const {body} = call;
    const path = call.variesQuery ? `${call.path}&at=${at}` : call.path;
    const url = `${site.urls[at % HOSTS] ?? ''}/v1/services/test-app${path}`;
    const answer = await fetch(url, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        authorization: 'Bearer test-key-one',
        'content-type': 'application/json',
        // An order that failed is sent anew with a key of its own.
        'idempotency-key': `key-${at}`,
      },
      ...(body !== undefined && {body}),
    });
    await answer.arrayBuffer();
    return answer.status;
  }

  async function countServiceCrashes(): Promise<number> {
    const answer = await fetch(`${site.service.url}/crashes`);
    return ((await answer.json()) as {crashes: number}).crashes;
  }

  /** Sends a request to a host; returns the status and the error kind or number of tokens. */
  async function send(
    host: number,
    content: string,
    shared: readonly string[] = [],
    fields: object = {},
  ): Promise<string> {
    const answer = await fetch(`${site.urls[host] ?? ''}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer test-key-one',
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: 'test-llm',
        messages: [
          ...shared.map(text => ({role: 'system', content: text})),
          {role: 'user', content},
        ],
        max_tokens: ANSWER_TOKENS,
        ...fields,
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
