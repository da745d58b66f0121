import {setTimeout as pause} from 'node:timers/promises';
import {expectedAnswer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {readStream} from '../testing/read_stream.js';
import {TestSite} from '../testing/test_site.js';

const TOKENS = 200;
const LIMIT_MS = 800;
const MARGIN_MS = 100;
const SETTLE_MS = 300;
const REQUESTS = 8;
const NO_FAULTS = {
  slowFactor: 1,
  truncateAfter: 0,
  dropEndEvent: false,
  duplicateEvents: false,
  crossAnswers: false,
};

/** A response as received by the caller. */
interface Received {
  readonly status: number;
  readonly text: string;
  readonly tookMs: number;
}

describe('engine faults', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(2, 2);
  });
  after(() => site.stop());
  afterEach(async () => {
    await setFaults([0, 1], NO_FAULTS);
    await pause(SETTLE_MS);
    expect(await readHeldMemory()).to.eql(['', '']);
  });

  for (const fault of [
    {truncateAfter: 20},
    {dropEndEvent: true},
    {duplicateEvents: true},
    {crossAnswers: true},
  ]) {
    it(`yield the complete answer or an error: ${JSON.stringify(fault)}`, async () => {
      await setFaults([0], fault);
      const answers = await Promise.all(
        Array.from({length: REQUESTS}, (_, index) => complete(index, TOKENS)),
      );
      answers.forEach(({status, text}, index) => {
        const isWhole = text === expectedAnswer(`question ${index}`, TOKENS);
        expect(isWhole || isError(status, text), text).to.equal(true);
      });
      expect(answers.some(({status}) => status === 200)).to.equal(true);
    });
  }

  it('release engine memory after callers disconnect from slow engines', async () => {
    await setFaults([0, 1], {slowFactor: 50});
    const disconnect = AbortSignal.timeout(LIMIT_MS / 2);
    const results = await Promise.allSettled(
      Array.from({length: REQUESTS}, (_, index) =>
        complete(index, 100 * TOKENS, disconnect, 60_000),
      ),
    );
    const ended = results.map(({status}) => status);
    expect(ended).to.eql(results.map(() => 'rejected'));
  });

  it('end streams with time_limit errors by the deadline when all engines are slow', async () => {
    await setFaults([0, 1], {slowFactor: 400});
    const answers = await Promise.all(
      Array.from({length: REQUESTS}, (_, index) => complete(index, TOKENS)),
    );
    expect(answers.some(({text}) => text.includes('time_limit'))).to.equal(
      true,
    );
    for (const {status, text, tookMs} of answers) {
      expect(isError(status, text), text).to.equal(true);
      expect(tookMs).to.be.below(LIMIT_MS + MARGIN_MS);
    }
  });

  it('end requests with retryable time_limit errors by the deadline when all engines are frozen', async () => {
    await setFaults([0, 1], {freezeMs: 2 * LIMIT_MS});
    const answers = await Promise.all(
      Array.from({length: REQUESTS}, (_, index) => complete(index, TOKENS)),
    );
    expect(answers.some(({text}) => text.includes('time_limit'))).to.equal(
      true,
    );
    for (const {status, text, tookMs} of answers) {
      expect(isError(status, text), text).to.equal(true);
      expect(text).to.contain('retryAfterMs');
      expect(tookMs).to.be.below(LIMIT_MS + MARGIN_MS);
    }
    await pause(2 * LIMIT_MS);
  });

  async function complete(
    index: number,
    tokens: number,
    signal?: AbortSignal,
    limitMs = LIMIT_MS,
  ): Promise<Received> {
    const startMs = performance.now();
    const url = site.urls[index % site.urls.length] ?? '';
    const answer = await fetch(`${url}/v1/completions`, {
      method: 'POST',
      ...(signal ? {signal} : {}),
      headers: {
        authorization: 'Bearer test-key-one',
        'content-type': 'application/json',
        'request-timeout-ms': String(limitMs),
      },
      body: JSON.stringify({
        model: 'test-llm',
        prompt: `question ${index}`,
        max_tokens: tokens,
        stream: true,
      }),
    });
    const body = await answer.text();
    const tookMs = performance.now() - startMs;
    const isWhole = body.includes('[DONE]');
    const text = isWhole ? readStream(body) : body;
    return {status: answer.status, text, tookMs};
  }

  async function setFaults(
    engines: readonly number[],
    faults: object,
  ): Promise<void> {
    for (const index of engines) {
      const url = `${site.engines[index]?.url ?? ''}/faults`;
      const answer = await fetch(url, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(faults),
      });
      expect(answer.ok, await answer.text()).to.equal(true);
    }
  }

  /** For each engine, its state if it holds memory besides its cache, else an empty string. */
  async function readHeldMemory(): Promise<string[]> {
    return Promise.all(
      site.engines.map(async ({url}) => {
        const text = await (await fetch(`${url}/state`)).text();
        const state = JSON.parse(text) as Record<string, number>;
        return state['usedTokens'] === state['cachedTokens'] ? '' : text;
      }),
    );
  }
});

function isError(status: number, text: string): boolean {
  return status >= 400 || /"error":\{"kind":"[a-z_]+"/.test(text);
}
