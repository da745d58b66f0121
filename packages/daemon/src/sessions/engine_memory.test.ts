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
/** Longer than the lease on a reservation. */
const LEASES_OVER_MS = 11_000;
/** Larger than the memory of one engine, in bytes. */
const GIANT_BYTES = 2_400_000;

describe('memory of engines', () => {
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

  it('is free by the limit while the host is paused, and after it', async () => {
    const asked = Array.from({length: STREAMS}, (_, index) =>
      ask(`paused ${index}`, LIMIT_MS),
    );
    await pause(SETTLE_MS);
    expect(await readHeld()).to.not.eql(['', '']);
    child.kill('SIGSTOP');
    await pause(LIMIT_MS);
    expect(await readHeld()).to.eql(['', '']);
    child.kill('SIGCONT');
    const wokenMs = performance.now();
    for (const text of await Promise.all(asked)) {
      expect(text).to.match(/"error":\{"kind":"time_limit"/);
    }
    expect(performance.now() - wokenMs).to.be.below(2 * MARGIN_MS);
    await pause(SETTLE_MS);
    expect(await readHeld()).to.eql(['', '']);
  });

  it('is free after a host was killed with streams and reservations', async () => {
    const asked = [
      ask('killed', 60_000),
      ask('fault log. '.repeat(GIANT_BYTES / 11), 60_000),
    ];
    await pause(2 * SETTLE_MS);
    expect(await readReservations()).to.be.above(0);
    child.kill('SIGKILL');
    await once(child, 'exit');
    await Promise.all(asked);
    const untilMs = performance.now() + LEASES_OVER_MS;
    while (performance.now() < untilMs) {
      if ((await readHeld()).join('') === '') break;
      await pause(SETTLE_MS);
    }
    expect(await readHeld()).to.eql(['', '']);
  });

  /** Asks the host in its own process; gives the answer or why it broke off. */
  async function ask(prompt: string, limitMs: number): Promise<string> {
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

  async function readReservations(): Promise<number> {
    const states = await readStates();
    return states.flatMap(({reservations}) => reservations).length;
  }

  /** What each engine holds besides its cache; empty for nothing. */
  async function readHeld(): Promise<string[]> {
    const states = await readStates();
    return states.map(state =>
      state.usedTokens === state.cachedTokens ? '' : JSON.stringify(state),
    );
  }
});
