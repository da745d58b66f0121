import {expect} from 'chai';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Placement} from './placement.js';
import {UpstreamLimits} from './upstream_limits.js';

const SEED = 1;
const STEP_MS = 5;
const RUN_MS = 20_000;
const WINDOW_MS = 4_000;
const STABLE_MS = 3_000;
const UPSTREAM = 'u';
const PLACEMENT: Placement = {
  id: 'p',
  host: '',
  upstream: UPSTREAM,
  promptTokens: 0,
  answerTokens: 0,
  objectiveMs: 0,
  pauseObjectiveMs: 0,
  parts: [
    {upstream: UPSTREAM, tokens: 0, millionPairs: 0, heldTokens: 0, passMs: 0},
  ],
};

describe('UpstreamLimits', () => {
  it('sends one and a half times the limit and five more at most, and three quarters of it where all hosts are busy', () => {
    const site = fc.record({
      seed: fc.nat(),
      perSecond: fc.constantFrom(0.5, 1, 2.5, 10, 40),
      hosts: fc.constantFrom(1, 3, 9, 16),
      delayMs: fc.constantFrom(5, 20, 40),
      demand: fc.constantFrom(0.02, 0.3, 1),
    });
    fc.assert(
      fc.property(site, options => {
        const {perSecond, hosts, demand} = options;
        const sentMs = runHosts(options);
        const bound = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
        const counted = sentMs.filter(atMs => atMs >= STABLE_MS);
        for (const [at, fromMs] of counted.entries()) {
          const next = counted.findIndex(atMs => atMs >= fromMs + WINDOW_MS);
          const seen = (next < 0 ? counted.length : next) - at;
          expect(seen).to.be.at.most(bound);
        }
        if (demand < 1) return;
        const expected = perSecond * (RUN_MS / 1_000);
        expect(sentMs.length, `${hosts}`).to.be.at.least(0.75 * expected - 2);
      }),
      {seed: SEED, numRuns: 60},
    );
  });

  it('follows the response to the newest attempt and forgets a limit that is named no more', () => {
    const limits = new UpstreamLimits(() => 0);
    expect(limits.update(UPSTREAM, 1, 100, 200)).to.equal(true);
    expect(limits.mayTake(UPSTREAM, 200)).to.equal(false);
    expect(limits.update(UPSTREAM, undefined, 50, 210)).to.equal(false);
    expect(limits.mayTake(UPSTREAM, 210)).to.equal(false);
    expect(limits.update(UPSTREAM, undefined, 150, 220)).to.equal(true);
    expect(limits.mayTake(UPSTREAM, 220)).to.equal(true);
  });

  it('lets refused requests come again one after the other', () => {
    const limits = new UpstreamLimits(() => 0);
    limits.update(UPSTREAM, 2, 0, 0);
    const waits = [0, 0, 0].map(() => limits.planReturnMs([UPSTREAM], 3, 0));
    expect(waits).to.deep.equal([500, 2_000, 3_500]);
  });
});

/** Lets hosts send whatever the limit allows; returns the times of all requests. */
function runHosts(options: {
  seed: number;
  perSecond: number;
  hosts: number;
  delayMs: number;
  demand: number;
}): number[] {
  const generator = xoroshiro128plus(options.seed);
  const draw = (): number => uniformFloat64(generator);
  const hosts = Array.from(
    {length: options.hosts},
    () => new UpstreamLimits(draw),
  );
  for (const host of hosts) host.update(UPSTREAM, options.perSecond, 0, 0);
  const sentMs: number[] = [];
  let told: {atMs: number; by: UpstreamLimits}[] = [];
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    const due = told.filter(({atMs}) => atMs <= nowMs);
    told = told.filter(({atMs}) => atMs > nowMs);
    for (const {by} of due) {
      for (const host of hosts) {
        if (host !== by) host.recordPlacement(PLACEMENT, nowMs);
      }
    }
    for (const host of hosts) {
      if (draw() > options.demand || !host.mayTake(UPSTREAM, nowMs)) continue;
      host.recordPlacement(PLACEMENT, nowMs);
      told.push({atMs: nowMs + options.delayMs, by: host});
      sentMs.push(nowMs);
    }
  }
  return sentMs;
}
