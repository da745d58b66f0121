import {ErrorKind} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Admission} from './admission.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionSettings} from './admission_settings.js';
import {FairAdmission} from './fair_admission.js';
import {FirstComeAdmission} from './first_come_admission.js';
import type {Offer} from './offer.js';
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

function fair(seed = 1): FairAdmission {
  return new FairAdmission({
    self: {host: 'a', id: `${seed}-0`},
    settings: SETTINGS,
    random: xoroshiro128plus(seed),
  });
}

function short(id: string, account: string, deadlineMs: number): Offer {
  const model = 'm';
  const lengthClass = 'short';
  return {id, account, model, lengthClass, tokens: 2000, deadlineMs};
}

function giant(id: string, account: string, deadlineMs: number): Offer {
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

/** One host before 10 servers that serve 100 short requests a second. */
function site(admission: Admission, loads: readonly Load[]): VirtualSite {
  const virtual = new VirtualSite({
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
      virtual.submit(atMs, 'a', short(id, account, atMs + 2000));
    }
  }
  return virtual;
}

function inTime(virtual: VirtualSite, account?: string): number {
  return [...virtual.outcomes.values()].filter(
    ({request, finishedMs}) =>
      (account === undefined || request.account === account) &&
      finishedMs !== undefined &&
      finishedMs <= request.deadlineMs,
  ).length;
}

function missed(virtual: VirtualSite): number {
  return [...virtual.outcomes.values()].filter(
    ({request, admittedMs, finishedMs}) =>
      admittedMs !== undefined &&
      (finishedMs === undefined || finishedMs > request.deadlineMs),
  ).length;
}

/** Median first-token time of the requests offered in a span of time. */
function medianFirstTokenMs(
  virtual: VirtualSite,
  fromMs: number,
  toMs: number,
): number {
  const times = [...virtual.outcomes.values()]
    .filter(({offeredMs}) => offeredMs >= fromMs && offeredMs < toMs)
    .map(({offeredMs, firstTokenMs = Infinity}) => firstTokenMs - offeredMs)
    .sort((a, b) => a - b);
  return times[times.length >> 1] ?? NaN;
}

const CREST: Load[] = [
  {account: 'x', perSecond: 70, fromMs: 0, toMs: 10_000},
  {account: 'y', perSecond: 300, fromMs: 10_000, toMs: 20_000},
  {account: 'z', perSecond: 70, fromMs: 20_000, toMs: 30_000},
];

describe('FairAdmission', () => {
  it('keeps answering in time at three times capacity', () => {
    const plain = site(new FirstComeAdmission(), CREST);
    plain.run(60_000);
    const virtual = site(fair(), CREST);
    virtual.run(60_000);

    expect(missed(plain)).above(1000);
    expect(missed(virtual)).equal(0);
    const served = [...virtual.outcomes.values()].filter(
      ({finishedMs}) =>
        finishedMs !== undefined && finishedMs >= 11_000 && finishedMs < 20_000,
    );
    expect(served.length).least(0.9 * 900);
  });

  it('lets the queue go within two seconds after the crest', () => {
    const virtual = site(fair(), CREST);
    virtual.run(60_000);
    const before = medianFirstTokenMs(virtual, 5_000, 10_000);
    const after = medianFirstTokenMs(virtual, 22_000, 27_000);
    expect(after).most(1.1 * before);
  });

  it('holds the crest on six hosts that know nothing of each other', () => {
    const names = Array.from({length: 6}, (_, index) => `host-${index}`);
    const virtual = new VirtualSite({
      hosts: new Map(names.map((name, index) => [name, fair(index + 1)])),
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
      virtual.submit(atMs, host, short(`r${count}`, account, atMs + 3000));
    }
    virtual.run(60_000);
    expect(missed(virtual)).equal(0);
    const served = [...virtual.outcomes.values()].filter(
      ({finishedMs = 0}) => finishedMs >= 10_000 && finishedMs < 20_000,
    );
    expect(served.length).least(0.9 * 3000);
    const median = (fromMs: number, toMs: number) =>
      medianFirstTokenMs(virtual, fromMs, toMs);
    expect(median(22_000, 27_000)).most(1.1 * median(5_000, 10_000));
  });

  it('refuses at once with a time to come back', () => {
    const virtual = site(fair(), CREST);
    virtual.run(60_000);
    const refused = [...virtual.outcomes.values()].filter(
      ({refusedMs}) => refusedMs !== undefined,
    );
    const latest = Math.max(
      ...refused.map(({refusedMs, offeredMs}) => (refusedMs ?? 0) - offeredMs),
    );
    const atOnce = refused.filter(o => o.refusedMs === o.offeredMs).length;
    expect(latest).most(500);
    expect(atOnce / refused.length).above(0.9);
    expect(refused.every(({retryAfterMs}) => (retryAfterMs ?? 0) > 0)).true;
  });

  it('keeps the share of a small account beside a flood', () => {
    const loads = [
      {account: 'small', perSecond: 20, fromMs: 0, toMs: 20_000},
      {account: 'flood', perSecond: 500, fromMs: 5_000, toMs: 20_000},
    ];
    const plain = site(new FirstComeAdmission(20), loads);
    plain.run(60_000);
    const virtual = site(fair(), loads);
    virtual.run(60_000);

    expect(inTime(plain, 'small')).below(200);
    expect(inTime(virtual, 'small')).least(0.97 * 400);
  });

  it('admits short requests while giants hold every place of theirs', () => {
    const run = (admission: Admission) => {
      const virtual = new VirtualSite({
        hosts: new Map([['a', admission]]),
        servers: 40,
        tokensPerMs: 20,
      });
      for (let index = 0; index < 30; index++) {
        virtual.submit(0, 'a', giant(`giant-${index}`, 'x', 600_000));
      }
      virtual.submit(1, 'a', short('short', 'x', 10_000));
      virtual.run(600_000);
      const outcome = virtual.outcomes.get('short');
      return (outcome?.firstTokenMs ?? Infinity) - 1;
    };
    expect(run(new FirstComeAdmission(20))).above(10_000);
    expect(run(fair())).most(500);
  });

  it('refuses what can no longer make its limit, and never later', () => {
    const admission = fair();
    const offer = short('late', 'x', 100);
    const event = {kind: AdmissionEventKind.OFFER as const, ...offer};
    const [action, ...others] = admission.handle(event, 0);
    expect(others).deep.equal([]);
    expect(action).deep.include({
      kind: AdmissionActionKind.REFUSE,
      id: 'late',
      error: ErrorKind.OVERLOADED,
    });
    expect(action).property('retryAfterMs').within(1, 500);
  });

  it('spreads the return of refused callers after an outage', () => {
    const run = (admission: Admission, retries: (ms: number) => number) => {
      let again = 0;
      const virtual = new VirtualSite({
        hosts: new Map([['a', admission]]),
        servers: 0,
        tokensPerMs: 20,
        onRefused: ({request, retryAfterMs}, nowMs) => {
          const id = `again-${again++}`;
          const atMs = nowMs + retries(retryAfterMs ?? 0);
          if (atMs > 30_000) return;
          returns.push(atMs);
          virtual.submit(atMs, 'a', {...request, id, deadlineMs: atMs + 2000});
        },
      });
      const returns: number[] = [];
      for (let index = 0; index < 1000; index++) {
        const id = `first-${index}`;
        virtual.submit(index, 'a', short(id, 'x', index + 2000));
      }
      virtual.schedule(3000, () => {
        virtual.servers = 10;
        virtual.startIdleServers();
      });
      virtual.run(60_000);
      const most = mostWithin(returns, 1000);
      return {most, missed: missed(virtual)};
    };
    expect(run(new FirstComeAdmission(20), ms => ms).most).above(300);
    expect(run(fair(), ms => ms).most).most(300);
  });

  it('starts batch work in slack, yields at the crest and ends it by its limit', () => {
    const hourMs = 3_600_000;
    const limitMs = 2 * hourMs;
    const virtual = new VirtualSite({
      hosts: new Map([['a', fair()]]),
      servers: 3,
      tokensPerMs: 20,
    });
    const crestMs = 1_000_000;
    for (let index = 0; index < 6; index++) {
      virtual.submit(50_000, 'a', giant(`crest-${index}`, 'x', 600_000));
    }
    virtual.submit(50_001, 'a', giant('night', 'x', limitMs));
    virtual.run(crestMs);
    const night = virtual.outcomes.get('night');
    const lastCrestMs = Math.max(
      ...[...virtual.outcomes.values()].map(({request, admittedMs}) =>
        request.id.startsWith('crest') ? (admittedMs ?? 0) : 0,
      ),
    );
    expect(night?.admittedMs).least(lastCrestMs);
    expect(night?.finishedMs).most(limitMs);
  });

  it('starts batch work without slack when its limit comes near', () => {
    const hourMs = 3_600_000;
    const virtual = new VirtualSite({
      hosts: new Map([['a', fair()]]),
      servers: 3,
      tokensPerMs: 20,
    });
    for (let index = 0; index * 5000 < 2 * hourMs; index++) {
      const atMs = index * 5000;
      virtual.submit(atMs, 'a', giant(`day-${index}`, 'x', atMs + 600_000));
    }
    const offeredMs = 900_000;
    virtual.submit(offeredMs, 'a', giant('night', 'x', offeredMs + hourMs));
    virtual.run(2 * hourMs);
    const night = virtual.outcomes.get('night');
    expect(night?.admittedMs).above(offeredMs + hourMs / 2);
    expect(night?.finishedMs).most(offeredMs + hourMs);
  });

  it('answers each offer once, whatever the load', () => {
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
        const virtual = site(fair(), loads);
        virtual.servers = servers;
        virtual.run(60_000);
        for (const {
          admittedMs,
          refusedMs,
          offeredMs,
        } of virtual.outcomes.values()) {
          const answeredMs = admittedMs ?? refusedMs ?? Infinity;
          expect(answeredMs - offeredMs).most(500);
        }
      },
    );
    fc.assert(property, {seed: 1, numRuns: 30});
  });
});

/** Most of the times that lie within one window. */
function mostWithin(timesMs: readonly number[], windowMs: number): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  sorted.forEach((atMs, index) => {
    while ((sorted[first] ?? atMs) < atMs - windowMs) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
