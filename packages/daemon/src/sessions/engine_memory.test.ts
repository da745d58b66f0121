import {once} from 'node:events';
import type {ChildProcess} from 'node:child_process';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const STREAMS = 4;
const TOKENS = 20_000;
const LIMIT_MS = 1_500;
const MARGIN_MS = 100;
const SETTLE_MS = 400;
/** Longer than the lease of a reservation, after which the engine releases it. */
const LEASE_EXPIRY_WAIT_MS = 11_000;
/** Size of a prompt that exceeds the memory of one engine. */
const OVERSIZED_PROMPT_BYTES = 2_400_000;

describe('engine memory', () => {
  let site: TestSite;
  let child: ChildProcess;
  before(async () => {
    site = await TestSite.start(2, 2);
    child = await site.moveHost(1);
    for (const {url} of site.engines) {
      await fetch(`${url}/faults`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({slowFactor: 50}),
      });
    }
  });
  after(async () => {
    child.kill('SIGKILL');
    await site.stop();
  });

  it('is released by the request deadline while the host process is paused, and stays released after it resumes', async () => {
    const responses = Array.from({length: STREAMS}, (_, index) =>
      complete(`paused ${index}`, LIMIT_MS),
    );
    await pause(SETTLE_MS);
    expect(await readHeldMemory()).to.not.eql(['', '']);
    child.kill('SIGSTOP');
    await pause(LIMIT_MS);
    expect(await readHeldMemory()).to.eql(['', '']);
    child.kill('SIGCONT');
    const resumedMs = performance.now();
    for (const text of await Promise.all(responses)) {
      expect(text).to.match(/"error":\{"kind":"time_limit"/);
    }
    expect(performance.now() - resumedMs).to.be.below(2 * MARGIN_MS);
    await pause(SETTLE_MS);
    expect(await readHeldMemory()).to.eql(['', '']);
  });

  it('is released after a host with open streams and reservations is killed', async () => {
    const responses = [
      complete('killed', 60_000),
      complete('fault log. '.repeat(OVERSIZED_PROMPT_BYTES / 11), 60_000),
    ];
    await pause(2 * SETTLE_MS);
    expect(await countReservations()).to.be.above(0);
    child.kill('SIGKILL');
    await once(child, 'exit');
    await Promise.all(responses);
    const deadlineMs = performance.now() + LEASE_EXPIRY_WAIT_MS;
    while (performance.now() < deadlineMs) {
      if ((await readHeldMemory()).join('') === '') break;
      await pause(SETTLE_MS);
    }
    expect(await readHeldMemory()).to.eql(['', '']);
  });

  /** Sends a request to the host in the child process; returns the response or the connection error. */
  async function complete(prompt: string, limitMs: number): Promise<string> {
    try {
      const answer = await fetch(`${site.urls[1] ?? ''}/v1/completions`, {
        method: 'POST',
        headers: {
          authorization: 'Bearer test-key-one',
          'content-type': 'application/json',
          'request-timeout-ms': String(limitMs),
        },
        body: JSON.stringify({
          model: 'test-llm',
          prompt,
          max_tokens: TOKENS,
          stream: true,
        }),
      });
      return await answer.text();
    } catch (error) {
      return String(error);
    }
  }

  async function readStates(): Promise<
    {usedTokens: number; cachedTokens: number; reservations: unknown[]}[]
  > {
    return Promise.all(
      site.engines.map(async ({url}) => {
        const answer = await fetch(`${url}/state`);
        return (await answer.json()) as never;
      }),
    );
  }

  async function countReservations(): Promise<number> {
    const states = await readStates();
    return states.flatMap(({reservations}) => reservations).length;
  }

  /** For each engine, its state if it holds memory besides its cache, else an empty string. */
  async function readHeldMemory(): Promise<string[]> {
    const states = await readStates();
    return states.map(state =>
      state.usedTokens === state.cachedTokens ? '' : JSON.stringify(state),
    );
  }
});
