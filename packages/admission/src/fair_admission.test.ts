import {ErrorKind} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Admission} from './admission.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionRequest} from './admission_request.js';
import type {AdmissionSettings} from './admission_settings.js';
import {FairAdmission} from './fair_admission.js';
import {FifoAdmission} from './fifo_admission.js';
import {VirtualSite} from './virtual_site.test.js';

const SETTINGS: AdmissionSettings = {
  accounts: {},
  lengthClasses: [
    {
      name: 'short',
      upToTokens: 4000,
      timeLimitMs: 10_000,
      firstTokenTargetMs: 500,
    },
    {
      name: 'giant',
      upToTokens: 1_000_000,
      timeLimitMs: 600_000,
      firstTokenTargetMs: 120_000,
    },
  ],
};

function createFair(seed = 1): FairAdmission {
  return new FairAdmission({
    self: {host: 'a', id: `${seed}-0`},
    settings: SETTINGS,
    random: xoroshiro128plus(seed),
  });
}

function createShort(
  id: string,
  account: string,
  deadlineMs: number,
): AdmissionRequest {
  const model = 'm';
  const lengthClass = 'short';
  return {id, account, model, lengthClass, tokens: 2000, deadlineMs};
}

function createGiant(
  id: string,
  account: string,
  deadlineMs: number,
): AdmissionRequest {
  const model = 'm';
  const lengthClass = 'giant';
  return {id, account, model, lengthClass, tokens: 400_000, deadlineMs};
}

interface Load {
  readonly account: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Creates one host with 10 servers that serve 100 short requests per second. */
function createSite(admission: Admission, loads: readonly Load[]): VirtualSite {
  const site = new VirtualSite({
    hosts: new Map([['a', admission]]),
    servers: 10,
    tokensPerMs: 20,
  });
  for (const {account, perSecond, fromMs, toMs} of loads) {
    const gapMs = 1000 / perSecond;
    let count = 0;
    for (let dueMs = fromMs; dueMs < toMs; dueMs += gapMs) {
      const atMs = Math.floor(dueMs);
      const id = `${account}-${fromMs}-${count++}`;
      site.submit(atMs, 'a', createShort(id, account, atMs + 2000));
    }
  }
  return site;
}

function countInTime(site: VirtualSite, account?: string): number {
  return [...site.outcomes.values()].filter(
    ({request, finishedMs}) =>
      (account === undefined || request.account === account) &&
      finishedMs !== undefined &&
      finishedMs <= request.deadlineMs,
  ).length;
}

function countMissed(site: VirtualSite): number {
  return [...site.outcomes.values()].filter(
    ({request, admittedMs, finishedMs}) =>
      admittedMs !== undefined &&
      (finishedMs === undefined || finishedMs > request.deadlineMs),
  ).length;
}

/** Median time to first token of the requests submitted in an interval. */
function computeMedianFirstTokenMs(
  site: VirtualSite,
  fromMs: number,
  toMs: number,
): number {
  const times = [...site.outcomes.values()]
    .filter(({submittedMs}) => submittedMs >= fromMs && submittedMs < toMs)
    .map(({submittedMs, firstTokenMs = Infinity}) => firstTokenMs - submittedMs)
    .sort((a, b) => a - b);
  return times[times.length >> 1] ?? NaN;
}

const PEAK_LOADS: Load[] = [
  {account: 'x', perSecond: 70, fromMs: 0, toMs: 10_000},
  {account: 'y', perSecond: 300, fromMs: 10_000, toMs: 20_000},
  {account: 'z', perSecond: 70, fromMs: 20_000, toMs: 30_000},
];

describe('FairAdmission', () => {
  it('meets all deadlines of admitted requests at three times capacity', () => {
    const baseline = createSite(new FifoAdmission(), PEAK_LOADS);
    baseline.run(60_000);
    const site = createSite(createFair(), PEAK_LOADS);
    site.run(60_000);

    expect(countMissed(baseline)).above(1000);
    expect(countMissed(site)).equal(0);
    const served = [...site.outcomes.values()].filter(
      ({finishedMs}) =>
        finishedMs !== undefined && finishedMs >= 11_000 && finishedMs < 20_000,
    );
    expect(served.length).least(0.9 * 900);
  });

  it('restores the time to first token within two seconds after a load peak', () => {
    const site = createSite(createFair(), PEAK_LOADS);
    site.run(60_000);
    const before = computeMedianFirstTokenMs(site, 5_000, 10_000);
    const after = computeMedianFirstTokenMs(site, 22_000, 27_000);
    expect(after).most(1.1 * before);
  });

  it('meets deadlines at a load peak on six hosts without communication', () => {
    const names = Array.from({length: 6}, (_, index) => `host-${index}`);
    const site = new VirtualSite({
      hosts: new Map(names.map((name, index) => [name, createFair(index + 1)])),
      servers: 30,
      tokensPerMs: 20,
      answerMs: 300,
    });
    const random = xoroshiro128plus(1);
    for (let atMs = 0, count = 0; atMs < 30_000; count++) {
      const perSecond = atMs >= 10_000 && atMs < 20_000 ? 900 : 200;
      atMs += Math.ceil(
        (-Math.log(1 - uniformFloat64(random)) * 1000) / perSecond,
      );
      const host = names[uniformInt(random, 0, 5)] ?? '';
      const account = `account-${uniformInt(random, 0, 9)}`;
      site.submit(atMs, host, createShort(`r${count}`, account, atMs + 3000));
    }
    site.run(60_000);
    expect(countMissed(site)).equal(0);
    const served = [...site.outcomes.values()].filter(
      ({finishedMs = 0}) => finishedMs >= 10_000 && finishedMs < 20_000,
    );
    expect(served.length).least(0.9 * 3000);
    const median = (fromMs: number, toMs: number) =>
      computeMedianFirstTokenMs(site, fromMs, toMs);
    expect(median(22_000, 27_000)).most(1.1 * median(5_000, 10_000));
  });

  it('refuses 90% of excess requests immediately, each with a retry time', () => {
    const site = createSite(createFair(), PEAK_LOADS);
    site.run(60_000);
    const refused = [...site.outcomes.values()].filter(
      ({refusedMs}) => refusedMs !== undefined,
    );
    const longestMs = Math.max(
      ...refused.map(
        ({refusedMs, submittedMs}) => (refusedMs ?? 0) - submittedMs,
      ),
    );
    const immediate = refused.filter(o => o.refusedMs === o.submittedMs).length;
    expect(longestMs).most(500);
    expect(immediate / refused.length).above(0.9);
    expect(refused.every(({retryAfterMs}) => (retryAfterMs ?? 0) > 0)).true;
  });

  it('keeps serving a small account while another account floods the host', () => {
    const loads = [
      {account: 'small', perSecond: 20, fromMs: 0, toMs: 20_000},
      {account: 'flood', perSecond: 500, fromMs: 5_000, toMs: 20_000},
    ];
    const baseline = createSite(new FifoAdmission(20), loads);
    baseline.run(60_000);
    const site = createSite(createFair(), loads);
    site.run(60_000);

    expect(countInTime(baseline, 'small')).below(200);
    expect(countInTime(site, 'small')).least(0.97 * 400);
  });

  it('admits short requests while giant requests use all slots of their class', () => {
    const run = (admission: Admission) => {
      const site = new VirtualSite({
        hosts: new Map([['a', admission]]),
        servers: 40,
        tokensPerMs: 20,
      });
      for (let index = 0; index < 30; index++) {
        site.submit(0, 'a', createGiant(`giant-${index}`, 'x', 600_000));
      }
      site.submit(1, 'a', createShort('short', 'x', 10_000));
      site.run(600_000);
      const outcome = site.outcomes.get('short');
      return (outcome?.firstTokenMs ?? Infinity) - 1;
    };
    expect(run(new FifoAdmission(20))).above(10_000);
    expect(run(createFair())).most(500);
  });

  it('immediately refuses a request that cannot meet its deadline', () => {
    const admission = createFair();
    const request = createShort('late', 'x', 100);
    const event = {kind: AdmissionEventKind.REQUESTED as const, ...request};
    const [action, ...others] = admission.handle(event, 0);
    expect(others).deep.equal([]);
    expect(action).deep.include({
      kind: AdmissionActionKind.REFUSE,
      id: 'late',
      error: ErrorKind.OVERLOADED,
    });
    expect(action).property('retryAfterMs').within(1, 500);
  });

  it('spreads the retries of refused callers after an outage', () => {
    const run = (admission: Admission, toDelayMs: (ms: number) => number) => {
      let retryCount = 0;
      const site = new VirtualSite({
        hosts: new Map([['a', admission]]),
        servers: 0,
        tokensPerMs: 20,
        onRefused: ({request, retryAfterMs}, nowMs) => {
          const id = `retry-${retryCount++}`;
          const atMs = nowMs + toDelayMs(retryAfterMs ?? 0);
          if (atMs > 30_000) return;
          retryTimes.push(atMs);
          site.submit(atMs, 'a', {...request, id, deadlineMs: atMs + 2000});
        },
      });
      const retryTimes: number[] = [];
      for (let index = 0; index < 1000; index++) {
        const id = `first-${index}`;
        site.submit(index, 'a', createShort(id, 'x', index + 2000));
      }
      site.schedule(3000, () => {
        site.servers = 10;
        site.startIdleServers();
      });
      site.run(60_000);
      const max = countMaxWithin(retryTimes, 1000);
      return {max, missed: countMissed(site)};
    };
    expect(run(new FifoAdmission(20), ms => ms).max).above(300);
    expect(run(createFair(), ms => ms).max).most(300);
  });

  it('starts batch work after queued requests and finishes it by its deadline', () => {
    const hourMs = 3_600_000;
    const limitMs = 2 * hourMs;
    const site = new VirtualSite({
      hosts: new Map([['a', createFair()]]),
      servers: 3,
      tokensPerMs: 20,
    });
    const checkMs = 1_000_000;
    for (let index = 0; index < 6; index++) {
      site.submit(50_000, 'a', createGiant(`peak-${index}`, 'x', 600_000));
    }
    site.submit(50_001, 'a', createGiant('batch', 'x', limitMs));
    site.run(checkMs);
    const batch = site.outcomes.get('batch');
    const lastPeakMs = Math.max(
      ...[...site.outcomes.values()].map(({request, admittedMs}) =>
        request.id.startsWith('peak') ? (admittedMs ?? 0) : 0,
      ),
    );
    expect(batch?.admittedMs).least(lastPeakMs);
    expect(batch?.finishedMs).most(limitMs);
  });

  it('starts batch work without spare capacity when its deadline is near', () => {
    const hourMs = 3_600_000;
    const site = new VirtualSite({
      hosts: new Map([['a', createFair()]]),
      servers: 3,
      tokensPerMs: 20,
    });
    for (let index = 0; index * 5000 < 2 * hourMs; index++) {
      const atMs = index * 5000;
      site.submit(
        atMs,
        'a',
        createGiant(`giant-${index}`, 'x', atMs + 600_000),
      );
    }
    const submittedMs = 900_000;
    site.submit(
      submittedMs,
      'a',
      createGiant('batch', 'x', submittedMs + hourMs),
    );
    site.run(2 * hourMs);
    const batch = site.outcomes.get('batch');
    expect(batch?.admittedMs).above(submittedMs + hourMs / 2);
    expect(batch?.finishedMs).most(submittedMs + hourMs);
  });

  it('answers each request once and within 500 ms under any load', () => {
    const load = fc.record({
      account: fc.constantFrom('x', 'y', 'z'),
      perSecond: fc.integer({min: 1, max: 200}),
      fromMs: fc.integer({min: 0, max: 5000}),
      toMs: fc.integer({min: 5000, max: 9000}),
    });
    const property = fc.property(
      fc.array(load, {minLength: 1, maxLength: 4}),
      fc.integer({min: 0, max: 12}),
      (loads, servers) => {
        const site = createSite(createFair(), loads);
        site.servers = servers;
        site.run(60_000);
        for (const {
          admittedMs,
          refusedMs,
          submittedMs,
        } of site.outcomes.values()) {
          const answeredMs = admittedMs ?? refusedMs ?? Infinity;
          expect(answeredMs - submittedMs).most(500);
        }
      },
    );
    fc.assert(property, {seed: 1, numRuns: 30});
  });
});

/** Counts the maximum number of times within any window. */
function countMaxWithin(timesMs: readonly number[], windowMs: number): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let max = 0;
  let start = 0;
  sorted.forEach((atMs, index) => {
    while ((sorted[start] ?? atMs) < atMs - windowMs) start++;
    max = Math.max(max, index - start + 1);
  });
  return max;
}
