import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {AccountLimits} from './account_limits.js';
import type {Admission} from './admission.js';
import type {AdmissionSettings} from './admission_settings.js';
import {FairAdmission} from './fair_admission.js';
import {FirstComeAdmission} from './first_come_admission.js';
import {VirtualSite} from './virtual_site.test.js';

const LIMIT_PER_SECOND = 100;
const CONCURRENT = 20;
const WINDOW_MS = 5000;
const END_MS = 15_000;

function settings(account: AdmissionSettings['accounts'][string]) {
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

const RATE = settings({
  keyHashes: ['0'],
  requestsPerSecond: LIMIT_PER_SECOND,
});
const TOKENS = settings({
  keyHashes: ['0'],
  tokensPerSecond: LIMIT_PER_SECOND * 1000,
});
const PLACES = settings({keyHashes: ['0'], concurrentRequests: CONCURRENT});

function fairHosts(count: number, account: AdmissionSettings) {
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
  /** Weight of each host in the demand. */
  readonly weights: readonly number[];
  /** Demand over the limit. */
  readonly factor: number;
}

/** Demand of one account whose spread over the hosts changes by phase. */
function run(
  hosts: ReadonlyMap<string, Admission>,
  phases: readonly Phase[],
  isLost?: (from: string, to: string, nowMs: number) => boolean,
  answerMs = 0,
): VirtualSite {
  const virtual = new VirtualSite({
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
        virtual.submit(at, host, {
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
  virtual.run(END_MS + 10_000);
  return virtual;
}

/** Most admitted in any window, and the number admitted in all. */
function count(virtual: VirtualSite): {most: number; all: number} {
  const times = [...virtual.outcomes.values()]
    .flatMap(({admittedMs}) => admittedMs ?? [])
    .sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  times.forEach((atMs, index) => {
    while ((times[first] ?? atMs) <= atMs - WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  });
  return {most, all: times.length};
}

/** Most requests held at once. */
function mostHeld(virtual: VirtualSite): number {
  const changes = [...virtual.outcomes.values()].flatMap(
    ({admittedMs, finishedMs}) =>
      admittedMs === undefined
        ? []
        : [
            {atMs: admittedMs, change: 1},
            {atMs: finishedMs ?? Infinity, change: -1},
          ],
  );
  changes.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  let held = 0;
  return Math.max(...changes.map(({change}) => (held += change)));
}

const MOST_IN_WINDOW = 1.1 * LIMIT_PER_SECOND * (WINDOW_MS / 1000);
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
  it('holds a rate over hosts with uneven and shifting demand', () => {
    const property = fc.property(
      PHASES,
      fc.integer({min: 2, max: 6}),
      (phases, hostCount) => {
        const {most} = count(run(fairHosts(hostCount, RATE), phases));
        expect(most).most(MOST_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 40});
  });

  it('holds a rate while messages are lost', () => {
    const property = fc.property(
      PHASES,
      fc.array(fc.boolean(), {minLength: 7, maxLength: 97}),
      fc.integer({min: 0, max: 15_000}),
      (phases, losses, cutMs) => {
        let index = 0;
        const isLost = (from: string, to: string, nowMs: number) => {
          const isCut = from < 'host-3' !== to < 'host-3';
          if (isCut && nowMs > cutMs && nowMs < cutMs + 5000) return true;
          return losses[index++ % losses.length] === true;
        };
        const {most} = count(run(fairHosts(6, RATE), phases, isLost));
        expect(most).most(MOST_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 40});
  });

  it('holds a rate while two hosts hear each other through a third only', () => {
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
        const {most} = count(run(fairHosts(3, RATE), phases, isLost));
        expect(most).most(MOST_IN_WINDOW);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 30});
  });

  it('holds a token rate', () => {
    const property = fc.property(PHASES, phases => {
      const {most} = count(run(fairHosts(6, TOKENS), phases));
      expect(most).most(MOST_IN_WINDOW);
    });
    fc.assert(property, {seed: 1, numRuns: 20});
  });

  it('holds a number of requests at once', () => {
    const property = fc.property(PHASES, phases => {
      const virtual = run(fairHosts(6, PLACES), phases, undefined, 400);
      expect(mostHeld(virtual)).most(1.1 * CONCURRENT);
    });
    fc.assert(property, {seed: 1, numRuns: 20});
  });

  it('gives a steady demand nearly all of its limit, however spread', () => {
    const phases = [{weights: [100, 10, 1, 0, 0, 0], factor: 2}];
    const {all} = count(run(fairHosts(6, RATE), phases));
    expect(all).least(0.9 * LIMIT_PER_SECOND * (END_MS / 1000));
  });

  it('falls back to equal parts when no peer is heard', () => {
    const phases = [{weights: [1, 0, 0, 0, 0], factor: 2}];
    const {all} = count(run(fairHosts(5, RATE), phases, () => true));
    const part = (LIMIT_PER_SECOND * (END_MS / 1000)) / 5;
    expect(all).within(0.9 * part, 1.1 * part);
  });

  it('forgets idle accounts and tells peers of busy ones only', () => {
    const account = {keyHashes: ['0'] as [string], requestsPerSecond: 10};
    const names = Array.from({length: 20_000}, (_, index) => `a${index}`);
    const limits = new AccountLimits({
      self: {host: 'a', id: '1-0'},
      settings: {
        ...RATE,
        accounts: Object.fromEntries(names.map(name => [name, account])),
      },
      random: xoroshiro128plus(1),
    });
    limits.setPeers(['b'], 0);
    names.forEach((name, index) => {
      const offer = {id: name, account: name, model: 'm', deadlineMs: 1e6};
      limits.check({...offer, lengthClass: 'short', tokens: 1}, index);
    });
    expect(limits.activeAccounts).equal(20_000);
    const message = limits.takeDueMessages(20_000).get('b');
    expect(limits.activeAccounts).most(10_001);
    expect(message?.accounts.length).equal(256);
    limits.takeDueMessages(40_000);
    expect(limits.activeAccounts).equal(0);
  });

  it('is exceeded by hosts that each admit in order of arrival', () => {
    const hosts = new Map<string, Admission>(
      ['host-0', 'host-1'].map(host => [host, new FirstComeAdmission()]),
    );
    const {most} = count(run(hosts, [{weights: [1, 1], factor: 2}]));
    expect(most).above(MOST_IN_WINDOW);
  });
});
