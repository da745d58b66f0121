import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {AccountLimits} from './account_limits.js';
import type {Admission} from './admission.js';
import type {AdmissionSettings} from './admission_settings.js';
import {FairAdmission} from './fair_admission.js';
import {FifoAdmission} from './fifo_admission.js';
import {VirtualSite} from './virtual_site.test.js';

const LIMIT_PER_SECOND = 100;
const MAX_CONCURRENT = 20;
const WINDOW_MS = 5000;
const END_MS = 15_000;

function createSettings(account: AdmissionSettings['accounts'][string]) {
  return {
    accounts: {x: account},
    lengthClasses: [
      {
        name: 'short',
        upToTokens: 4000,
        timeLimitMs: 10_000,
        firstTokenTargetMs: 500,
      },
    ],
  } as AdmissionSettings;
}

const REQUEST_RATE = createSettings({
  keyHashes: ['0'],
  requestsPerSecond: LIMIT_PER_SECOND,
});
const TOKEN_RATE = createSettings({
  keyHashes: ['0'],
  tokensPerSecond: LIMIT_PER_SECOND * 1000,
});
const CONCURRENCY = createSettings({
  keyHashes: ['0'],
  concurrentRequests: MAX_CONCURRENT,
});

function createFairHosts(count: number, account: AdmissionSettings) {
  return new Map<string, Admission>(
    Array.from({length: count}, (_, index) => [
      `host-${index}`,
      new FairAdmission({
        self: {host: `host-${index}`, id: `${1000 + index}-0`},
        settings: account,
        random: xoroshiro128plus(index + 1),
      }),
    ]),
  );
}

interface Phase {
  /** Weights by which the demand is spread over the hosts. */
  readonly weights: readonly number[];
  /** Demand as a multiple of the limit. */
  readonly factor: number;
}

/** Simulates one account whose demand is spread over the hosts by phase. */
function simulate(
  hosts: ReadonlyMap<string, Admission>,
  phases: readonly Phase[],
  isLost?: (from: string, to: string, nowMs: number) => boolean,
  answerMs = 0,
): VirtualSite {
  const site = new VirtualSite({
    hosts,
    servers: 1000,
    tokensPerMs: 20,
    answerMs,
    isLost,
  });
  const names = [...hosts.keys()];
  const phaseMs = END_MS / phases.length;
  phases.forEach(({weights, factor}, index) => {
    const sum = weights.reduce((a, b) => a + b, 0) || 1;
    names.forEach((host, position) => {
      const perSecond =
        (LIMIT_PER_SECOND * factor * (weights[position] ?? 0)) / sum;
      if (perSecond <= 0) return;
      const fromMs = index * phaseMs + position;
      for (
        let at = fromMs;
        at < (index + 1) * phaseMs;
        at += 1000 / perSecond
      ) {
        site.submit(at, host, {
          id: `${host}-${at}`,
          account: 'x',
          model: 'm',
          lengthClass: 'short',
          tokens: 1000,
          deadlineMs: at + 10_000,
        });
      }
    });
  });
  site.run(END_MS + 10_000);
  return site;
}

/** Counts admitted requests: the maximum in any window, and the total. */
function countAdmitted(site: VirtualSite): {max: number; total: number} {
  const times = [...site.outcomes.values()]
    .flatMap(({admittedMs}) => admittedMs ?? [])
    .sort((a, b) => a - b);
  let max = 0;
  let start = 0;
  times.forEach((atMs, index) => {
    while ((times[start] ?? atMs) <= atMs - WINDOW_MS) start++;
    max = Math.max(max, index - start + 1);
  });
  return {max, total: times.length};
}

/** Counts the maximum number of concurrent requests. */
function countMaxConcurrent(site: VirtualSite): number {
  const changes = [...site.outcomes.values()].flatMap(
    ({admittedMs, finishedMs}) =>
      admittedMs === undefined
        ? []
        : [
            {atMs: admittedMs, change: 1},
            {atMs: finishedMs ?? Infinity, change: -1},
          ],
  );
  changes.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  let running = 0;
  return Math.max(...changes.map(({change}) => (running += change)));
}

const MAX_IN_WINDOW = 1.1 * LIMIT_PER_SECOND * (WINDOW_MS / 1000);
const PHASES = fc.array(
  fc.record({
    weights: fc.array(fc.integer({min: 0, max: 10}), {
      minLength: 6,
      maxLength: 6,
    }),
    factor: fc.double({min: 0.5, max: 4, noNaN: true}),
  }),
  {minLength: 1, maxLength: 5},
);

describe('AccountLimits', () => {
  it('enforces a request rate across hosts with uneven and changing demand', () => {
    const property = fc.property(
      PHASES,
      fc.integer({min: 2, max: 6}),
      (phases, hostCount) => {
        const {max} = countAdmitted(
          simulate(createFairHosts(hostCount, REQUEST_RATE), phases),
        );
        expect(max).most(MAX_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 40});
  });

  it('enforces a request rate while messages are lost and hosts are partitioned for 5 s', () => {
    const property = fc.property(
      PHASES,
      fc.array(fc.boolean(), {minLength: 7, maxLength: 97}),
      fc.integer({min: 0, max: 15_000}),
      (phases, losses, splitMs) => {
        let index = 0;
        const isLost = (from: string, to: string, nowMs: number) => {
          const isSplit = from < 'host-3' !== to < 'host-3';
          if (isSplit && nowMs > splitMs && nowMs < splitMs + 5000) return true;
          return losses[index++ % losses.length] === true;
        };
        const {max} = countAdmitted(
          simulate(createFairHosts(6, REQUEST_RATE), phases, isLost),
        );
        expect(max).most(MAX_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 40});
  });

  it('enforces a request rate while messages between two of three hosts are lost', () => {
    const demand = fc.record({
      weights: fc.constantFrom([1, 1, 0], [2, 1, 0], [3, 3, 1], [1, 0, 1]),
      factor: fc.integer({min: 1, max: 4}),
    });
    const property = fc.property(
      fc.array(demand, {minLength: 1, maxLength: 3}),
      fc.boolean(),
      (phases, isOneWay) => {
        const isLost = (from: string, to: string) =>
          (from === 'host-0' && to === 'host-1') ||
          (!isOneWay && from === 'host-1' && to === 'host-0');
        const {max} = countAdmitted(
          simulate(createFairHosts(3, REQUEST_RATE), phases, isLost),
        );
        expect(max).most(MAX_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 30});
  });

  it('enforces a token rate', () => {
    const property = fc.property(PHASES, phases => {
      const {max} = countAdmitted(
        simulate(createFairHosts(6, TOKEN_RATE), phases),
      );
      expect(max).most(MAX_IN_WINDOW);
    });
    fc.assert(property, {seed: 1, numRuns: 20});
  });

  it('enforces a limit on concurrent requests', () => {
    const property = fc.property(PHASES, phases => {
      const site = simulate(
        createFairHosts(6, CONCURRENCY),
        phases,
        undefined,
        400,
      );
      expect(countMaxConcurrent(site)).most(1.1 * MAX_CONCURRENT);
    });
    fc.assert(property, {seed: 1, numRuns: 20});
  });

  it('admits at least 90% of the limit under steady, unevenly spread demand', () => {
    const phases = [{weights: [100, 10, 1, 0, 0, 0], factor: 2}];
    const {total} = countAdmitted(
      simulate(createFairHosts(6, REQUEST_RATE), phases),
    );
    expect(total).least(0.9 * LIMIT_PER_SECOND * (END_MS / 1000));
  });

  it('falls back to an equal share when no message from a peer arrives', () => {
    const phases = [{weights: [1, 0, 0, 0, 0], factor: 2}];
    const {total} = countAdmitted(
      simulate(createFairHosts(5, REQUEST_RATE), phases, () => true),
    );
    const equalShare = (LIMIT_PER_SECOND * (END_MS / 1000)) / 5;
    expect(total).within(0.9 * equalShare, 1.1 * equalShare);
  });

  it('evicts idle accounts and announces at most 256 accounts per message', () => {
    const account = {keyHashes: ['0'] as [string], requestsPerSecond: 10};
    const names = Array.from({length: 20_000}, (_, index) => `a${index}`);
    const limits = new AccountLimits({
      self: {host: 'a', id: '1-0'},
      settings: {
        ...REQUEST_RATE,
        accounts: Object.fromEntries(names.map(name => [name, account])),
      },
      random: xoroshiro128plus(1),
    });
    limits.setPeers(['b'], 0);
    names.forEach((name, index) => {
      const request = {id: name, account: name, model: 'm', deadlineMs: 1e6};
      limits.check({...request, lengthClass: 'short', tokens: 1}, index);
    });
    expect(limits.activeAccounts).equal(20_000);
    const message = limits.takeDueMessages(20_000).get('b');
    expect(limits.activeAccounts).most(10_001);
    expect(message?.accounts.length).equal(256);
    limits.takeDueMessages(40_000);
    expect(limits.activeAccounts).equal(0);
  });

  it('detects that FIFO admission on each host exceeds the limit', () => {
    const hosts = new Map<string, Admission>(
      ['host-0', 'host-1'].map(host => [host, new FifoAdmission()]),
    );
    const {max} = countAdmitted(
      simulate(hosts, [{weights: [1, 1], factor: 2}]),
    );
    expect(max).above(MAX_IN_WINDOW);
  });
});
