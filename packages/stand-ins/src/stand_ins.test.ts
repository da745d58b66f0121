import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import {request, type Dispatcher} from 'undici';
import {
  EngineCommandKind,
  expectedAnswer,
  readPrompt,
  startEngine,
  startPlatform,
  startService,
  type EngineStart,
  type StandIn,
} from './index.js';

const BODY = {
  model: 'm',
  messages: [{role: 'user', content: 'papers '.repeat(1_000)}],
  max_tokens: 4,
};
const RESTART_POLL_MS = 5;
const ANSWER = expectedAnswer(readPrompt(BODY), 4);

interface Answer {
  readonly status: number;
  readonly text: string;
  /** Parsed body, of a JSON answer. */
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  readonly json: any;
}

/** Asks an engine that is starting anew until it listens. */
async function askUntilUp(url: string): Promise<Answer> {
  for (;;) {
    try {
      return await send('GET', url);
    } catch {
      await setTimeout(RESTART_POLL_MS);
    }
  }
}

async function send(
  method: Dispatcher.HttpMethod,
  url: string,
  body?: object,
  headers: Record<string, string> = {},
): Promise<Answer> {
  const answer = await request(url, {
    method,
    headers: {
      ...(body ? {'content-type': 'application/json'} : {}),
      ...headers,
    },
    body: body ? JSON.stringify(body) : null,
  });
  const text = await answer.body.text();
  const json = /^[[{]/.test(text) ? JSON.parse(text) : undefined;
  return {status: answer.statusCode, text, json};
}

describe('stand-ins', () => {
  const started: StandIn[] = [];

  afterEach(async () => {
    for (const standIn of started.splice(0)) await standIn.close();
  });

  async function startTestEngine(start: EngineStart = {}): Promise<string> {
    const engine = await startEngine({models: ['m'], speed: 100, ...start});
    started.push(engine);
    return engine.url;
  }

  function ask(
    url: string,
    attempt: string,
    headers: Record<string, string> = {},
    body: object = BODY,
  ): Promise<Answer> {
    return send('POST', `${url}/v1/chat/completions`, body, {
      'parsleywood-attempt': attempt,
      'parsleywood-owner': 'host-1/1',
      ...headers,
    });
  }

  function readEvents(text: string): Record<string, unknown>[] {
    return text
      .split('\n\n')
      .filter(part => part.startsWith('data: '))
      .map(part => JSON.parse(part.slice('data: '.length)));
  }

  function readText(text: string): string {
    return readEvents(text)
      .map(event => event['text'] ?? '')
      .join('');
  }

  describe('platform', () => {
    let url: string;

    beforeEach(async () => {
      const platform = await startPlatform();
      started.push(platform);
      url = platform.url;
    });

    it('serves values, watches and counts', async () => {
      expect((await send('GET', `${url}/values/sites/a`)).status).to.equal(404);
      const put = await send('PUT', `${url}/values/sites/a`, {a: 1});
      expect(put.json).to.eql({revision: 1});
      const read = await send('GET', `${url}/values/sites/a`);
      expect(read.json).to.eql({key: 'sites/a', revision: 1, value: {a: 1}});
      const watch = send('GET', `${url}/values/sites/a?after=1&waitMs=5000`);
      await send('PUT', `${url}/values/base`, {});
      await send('PUT', `${url}/values/sites/a`, {a: 2});
      expect((await watch).json.revision).to.equal(3);
      const late = await send('GET', `${url}/values/base?after=2&waitMs=20`);
      expect(late.status).to.equal(304);
      const {reads, watches} = (await send('GET', `${url}/calls`)).json;
      expect({reads, watches}).to.eql({reads: 4, watches: 2});
    });

    it('is stale, late and down as told', async () => {
      await send('PUT', `${url}/values/hosts/a`, {n: 1});
      await send('POST', `${url}/faults`, {stale: true});
      await send('PUT', `${url}/values/hosts/a`, {n: 2});
      const read = async () =>
        (await send('GET', `${url}/values/hosts/a`)).json.value.n;
      expect(await read()).to.equal(1);
      await send('POST', `${url}/faults`, {stale: false, lagListMs: 60_000});
      expect(await read()).to.equal(2);
      await send('PUT', `${url}/values/hosts/a`, {n: 3});
      expect(await read()).to.equal(2);
      await send('POST', `${url}/faults`, {down: true});
      const failure = await read().catch(error => String(error));
      expect(failure).to.be.a('string');
    });

    it('refuses values over a megabyte and reads over the rate', async () => {
      const large = {text: 'x'.repeat(1_048_576)};
      const put = await send('PUT', `${url}/values/base`, large);
      expect(put.status).to.equal(413);
      const reads = Array.from({length: 2_500}, () =>
        send('GET', `${url}/values/base`),
      );
      const statuses = (await Promise.all(reads)).map(({status}) => status);
      const {refused, maxPerSecond} = (await send('GET', `${url}/calls`)).json;
      const refusals = statuses.filter(status => status === 429).length;
      expect(refused).to.equal(refusals);
      expect(maxPerSecond).to.be.at.most(2_500);
    });
  });

  describe('engine', () => {
    it('streams the answer that follows from the prompt', async () => {
      const url = await startTestEngine();
      const {status, text} = await ask(url, 'a');
      expect(status).to.equal(200);
      expect(readText(text)).to.equal(ANSWER);
      expect(readEvents(text).at(-1)).to.eql({
        attempt: 'a',
        position: 4,
        finish: 'length',
        usage: {promptTokens: 1752, completionTokens: 4, cachedTokens: 0},
      });
      const resumed = await ask(url, 'b', {'parsleywood-resume-from': '2'});
      const tail = readEvents(resumed.text).slice(0, 2);
      expect(tail.map(event => event['position'])).to.eql([2, 3]);
      expect(ANSWER.endsWith(readText(resumed.text))).to.equal(true);
    });

    it('refuses by status', async () => {
      const url = await startTestEngine({options: {memoryTokens: 2_000}});
      const other = await ask(url, 'a', {}, {...BODY, model: 'x'});
      const large = await ask(url, 'a', {}, {...BODY, max_tokens: 900});
      await send('POST', `${url}/faults`, {leaving: true});
      const leaving = await ask(url, 'a');
      const statuses = [other, large, leaving].map(({status}) => status);
      expect(statuses).to.eql([404, 413, 503]);
    });

    it('ends work on cancel, limit and a closed connection', async () => {
      const url = await startTestEngine({speed: 1});
      const long = {...BODY, max_tokens: 50_000};
      const limited = ask(url, 'a', {'parsleywood-limit-ms': '50'}, long);
      const cancelled = ask(url, 'b', {}, long);
      const abort = new AbortController();
      const gone = request(`${url}/v1/completions`, {
        method: 'POST',
        signal: abort.signal,
        headers: {
          'content-type': 'application/json',
          'parsleywood-attempt': 'c',
        },
        body: JSON.stringify({model: 'm', prompt: 'p', max_tokens: 50_000}),
      });
      await (await gone).body.once('data', () => undefined);
      expect((await ask(url, 'c')).status).to.equal(409);
      expect((await limited).text).to.include('time_limit');
      await send('DELETE', `${url}/v1/attempts/b`);
      await cancelled;
      abort.abort();
      let state;
      do state = (await send('GET', `${url}/state`)).json;
      while (state.streams.length > 0);
      expect(state.usedTokens).to.equal(state.cachedTokens);
    });

    it('keeps reservations and exports until they end', async () => {
      const url = await startTestEngine({speed: 1});
      const reservation = {owner: 'o', tokens: 500, expiresInMs: 60_000};
      const path = `${url}/v1/reservations/r`;
      expect((await send('POST', path, reservation)).status).to.equal(201);
      expect((await send('POST', path, reservation)).status).to.equal(200);
      const rival = {...reservation, owner: 'p'};
      expect((await send('POST', path, rival)).status).to.equal(409);
      const long = ask(url, 'a', {}, {...BODY, max_tokens: 400});
      let kvExport;
      do kvExport = await send('POST', `${url}/v1/kv/exports`, {attempt: 'a'});
      while (kvExport.json.tokens !== 1_536);
      const state = (await send('GET', `${url}/state`)).json;
      expect(state.exports).to.eql([
        {id: 'a', owner: 'host-1/1', tokens: 1_536},
      ]);
      await send('DELETE', `${url}/v1/kv/exports/a`);
      await send('DELETE', path);
      await long;
      const {usedTokens, cachedTokens} = (await send('GET', `${url}/state`))
        .json;
      expect([usedTokens, cachedTokens]).to.eql([1_536, 1_536]);
      const other = await startTestEngine();
      const {blocks} = kvExport.json;
      await send('POST', `${other}/v1/kv/imports`, {blocks});
      const finish = readEvents((await ask(other, 'b')).text).at(-1);
      expect(finish?.['usage']).to.deep.include({cachedTokens: 1_536});
    });

    it('refuses a command with an old fencing number, or ignores it', async () => {
      const command = {
        kind: EngineCommandKind.LOAD_MODEL,
        name: 'n',
        version: '1',
      };
      const apply = async (url: string, fencing: number) =>
        (await send('POST', `${url}/v1/orders`, {...command, fencing})).status;
      const strict = await startTestEngine({options: {loadModelMs: 50}});
      expect(await apply(strict, 2)).to.equal(200);
      expect(await apply(strict, 1)).to.equal(409);
      const body = {...BODY, model: 'n'};
      expect((await ask(strict, 'a', {}, body)).status).to.equal(404);
      let content;
      do content = (await send('GET', `${strict}/v1/orders`)).json;
      while (!content.loads[1].ready);
      expect((await ask(strict, 'a', {}, body)).status).to.equal(200);
      const lax = await startTestEngine({ignoresFencing: true});
      expect(await apply(lax, 2)).to.equal(200);
      expect(await apply(lax, 1)).to.equal(200);
    });

    it('loses all at a crash, also one that a prompt brings about', async () => {
      const url = await startTestEngine({speed: 1});
      await ask(url, 'a');
      await send('POST', `${url}/faults`, {crashOnMarker: 'BAD'});
      const prompt = {model: 'm', prompt: 'a BAD one', max_tokens: 10_000};
      const path = `${url}/v1/completions`;
      const headers = {'parsleywood-attempt': 'b'};
      const cut = await send('POST', path, prompt, headers).catch(String);
      expect(cut).to.be.a('string');
      const state = (await askUntilUp(`${url}/state`)).json;
      expect(state).to.deep.include({crashes: 1, usedTokens: 0, streams: []});
    });

    it('freezes, truncates, doubles and crosses events', async () => {
      const url = await startTestEngine();
      const fault = (faults: object) => send('POST', `${url}/faults`, faults);
      await fault({duplicateEvents: true});
      expect(readEvents((await ask(url, 'a')).text)).to.have.length(10);
      await fault({duplicateEvents: false, truncateAfter: 2});
      expect(readEvents((await ask(url, 'b')).text)).to.have.length(2);
      await fault({truncateAfter: 0, dropEndEvent: true});
      expect(readEvents((await ask(url, 'c')).text)).to.have.length(4);
      await fault({dropEndEvent: false, crossAnswers: true, slowFactor: 100});
      const [first] = await Promise.all([ask(url, 'd'), ask(url, 'e')]);
      const attempts = readEvents(first.text).map(({attempt}) => attempt);
      expect(attempts).to.include.members(['d', 'e']);
      await fault({slowFactor: 1, freezeMs: 100});
      const startMs = performance.now();
      await ask(url, 'f');
      expect(performance.now() - startMs).to.be.greaterThan(95);
    });
  });

  it('service counts executions and fails as told', async () => {
    const service = await startService({checksFencing: true});
    started.push(service);
    const {url} = service;
    const order = (key: string, fencing: string) =>
      send(
        'POST',
        `${url}/orders`,
        {n: 1},
        {
          'idempotency-key': key,
          'parsleywood-account': 'a',
          'parsleywood-fencing': fencing,
        },
      );
    expect((await order('k', '2')).status).to.equal(201);
    expect((await order('k', '2')).json.count).to.equal(2);
    expect((await order('old', '1')).status).to.equal(409);
    await send('POST', `${url}/faults`, {failBeforeExecution: true});
    await order('before', '2').catch(String);
    const after = {failBeforeExecution: false, failAfterExecution: true};
    await send('POST', `${url}/faults`, after);
    await order('after', '2').catch(String);
    expect((await send('GET', `${url}/executions`)).json).to.eql([
      {key: 'k', account: 'a', count: 2},
      {key: 'after', account: 'a', count: 1},
    ]);
    expect((await send('GET', `${url}/levels`)).status).to.equal(200);
  });
});
