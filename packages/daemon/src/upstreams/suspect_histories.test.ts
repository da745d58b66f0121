import {expect} from 'chai';
import fc from 'fast-check';
import {SuspectFleet} from '../testing/suspect_fleet.js';
import type {SuspectFleetRequest} from '../testing/suspect_fleet_request.js';
import {SuspectFleetResult} from '../testing/suspect_fleet_result.js';

const SEED = 1;
const RUNS = 20;
/** Histories of causes that crash only some upstreams are long. */
const PARTIAL_RUNS = 3;
const CALM_MS = 2_000;
const MAX_TROUBLE_MS = 75_000;
const TICK_MS = 50;
const STABLE_MS = 3_000;
/** Bad requests that may reach upstreams after the bound of crashes. */
const MAX_LATE_ARRIVALS = 3;
/** Sound requests have to run at least half as often as without crashes. */
const MIN_SERVED_RATIO = 0.5;
const MIN_REQUESTS = 20;
const DETAILS = 3;

type Kind = (number: number, isBad: boolean) => Partial<SuspectFleetRequest>;

/** Prompts that share a first part and have one of their own. */
function describePrompt(number: number, parts: readonly string[]): Kind {
  return () => ({
    method: 'POST',
    target: '/stream/ask',
    headers: [
      ['token-counts', `${4_000 + (number % DETAILS)},100`],
      ['prompt-parts', ['a0:40', ...parts, `c${number}:9`].join(',')],
    ],
  });
}

/** Bad requests, and sound ones that differ from them in one thing. */
const KINDS: Record<string, Kind> = {
  'a part of the prompt': (number, isBad) =>
    describePrompt(number, [isBad ? 'dead:5' : `b${number % DETAILS}:5`])(
      number,
      isBad,
    ),
  'a part of the prompt that others lack': (number, isBad) =>
    describePrompt(number, [
      ...(isBad ? ['dead:5'] : []),
      `b${number % DETAILS}:5`,
    ])(number, isBad),
  'two parts of the prompt': (number, isBad) =>
    describePrompt(number, [
      `b${number % DETAILS}:5`,
      ...(isBad ? ['dead:5', 'worse:5'] : []),
    ])(number, isBad),
  'the whole prompt': (number, isBad) =>
    describePrompt(isBad ? -1 : number, [`b${number % DETAILS}:5`])(
      number,
      isBad,
    ),
  'a header': (number, isBad) => ({
    headers: [
      ['x-detail', isBad ? 'bad' : `fine ${number % DETAILS}`],
      ['x-trace', String(number)],
    ],
  }),
  'a header of equal requests': (_number, isBad) => ({
    headers: isBad ? [['x-detail', 'bad']] : [],
  }),
  'a parameter': (number, isBad) => ({
    target: `/safe/item?at=${number}&id=${isBad ? 'bad' : 'fine'}`,
  }),
  'the path': (number, isBad) => ({
    target: isBad ? '/safe/bad' : `/safe/fine${number % DETAILS}`,
    headers: [['x-trace', String(number)]],
  }),
  'the body': (number, isBad) => ({
    method: 'POST',
    body: isBad ? 'bad' : `fine ${number % DETAILS}`,
    headers: [['x-trace', String(number)]],
  }),
};

const history = fc.record({
  hosts: fc.integer({min: 1, max: 6}),
  upstreams: fc.integer({min: 4, max: 12}),
  seed: fc.nat(),
  lossRatio: fc.constantFrom(0, 0.05),
  lateRatio: fc.constantFrom(0, 0.2),
  crashesInAnswer: fc.boolean(),
  /** Requests of each sort in 20 ticks. */
  sound: fc.integer({min: 4, max: 40}),
  bad: fc.integer({min: 1, max: 10}),
  decodeMs: fc.constantFrom(50, 400, 1_500),
  troubleMs: fc.constantFrom(15_000, 15_000, 15_000, MAX_TROUBLE_MS),
  restarts: fc.array(fc.nat({max: MAX_TROUBLE_MS / TICK_MS}), {maxLength: 3}),
  outages: fc.array(fc.nat({max: MAX_TROUBLE_MS / TICK_MS}), {maxLength: 3}),
});

const CALM = {lossRatio: 0, lateRatio: 0, restarts: [], outages: []};
const LATE = {...CALM, lateRatio: 0.2};
const SHORT = {decodeMs: 1_500, troubleMs: 15_000};
/** Histories in which sound requests were refused for good, or bad ones ran on. */
const FAILED = [
  {
    ...{...LATE, ...SHORT, hosts: 2, upstreams: 4, seed: 0},
    ...{crashesInAnswer: false, sound: 4, bad: 8},
  },
  {
    ...{...LATE, ...SHORT, hosts: 3, upstreams: 4, seed: 237_444_055},
    ...{crashesInAnswer: true, sound: 5, bad: 8},
  },
  {
    ...{...CALM, ...SHORT, hosts: 1, upstreams: 4, seed: 719_921_840},
    ...{crashesInAnswer: false, sound: 4, bad: 3},
  },
  {
    ...{...LATE, hosts: 2, upstreams: 4, seed: 28, decodeMs: 400},
    ...{crashesInAnswer: true, sound: 22, bad: 9, troubleMs: 20_000},
    ...{restarts: [367], outages: [1, 9]},
  },
  {
    ...{...LATE, ...SHORT, hosts: 3, upstreams: 12, seed: 1_284_474_901},
    ...{crashesInAnswer: true, sound: 9, bad: 4},
  },
];

describe('Blame for crashes of upstreams', () => {
  for (const [name, describeRequest] of Object.entries(KINDS)) {
    for (const crashRatio of [1, 0.5]) {
      it(`for ${name}, which crashes ${crashRatio * 100}% of the upstreams that run it, meets no sound requests`, () => {
        fc.assert(
          fc.property(history, options => {
            const fleet = new SuspectFleet({...options, crashRatio});
            play(fleet, options, describeRequest);
            const {soundEnds, badCrashes, badArrivals} = fleet;
            const refused = count(soundEnds, SuspectFleetResult.REFUSED);
            expect(refused, 'refused').to.equal(0);
            if (crashRatio < 1) return;
            const boundMs = badCrashes[4] ?? badCrashes.at(-1) ?? 0;
            const late = badArrivals.filter(it => it > boundMs + STABLE_MS);
            const crashes = `${badCrashes.length} crashes`;
            expect(late.length, crashes).to.be.at.most(MAX_LATE_ARRIVALS);
            const laterMs = boundMs + 2 * STABLE_MS;
            const later = soundEnds.filter(it => it.sentAtMs >= laterMs);
            const answered = count(later, SuspectFleetResult.ANSWERED);
            if (later.length < MIN_REQUESTS) return;
            expect(answered / later.length).to.be.at.least(MIN_SERVED_RATIO);
          }),
          {
            seed: SEED,
            numRuns: FAILED.length + (crashRatio < 1 ? PARTIAL_RUNS : RUNS),
            endOnFailure: true,
            examples: FAILED.map((one): [typeof one] => [one]),
          },
        );
      });
    }
  }
});

function count(
  ends: SuspectFleet['soundEnds'],
  wanted: SuspectFleetResult,
): number {
  return ends.filter(({result}) => result === wanted).length;
}

function play(
  fleet: SuspectFleet,
  options: typeof history extends fc.Arbitrary<infer T> ? T : never,
  describeRequest: Kind,
): void {
  const request = {
    method: 'GET',
    target: '/safe/item',
    account: 'mill',
    headers: [],
    body: '',
    decodeMs: options.decodeMs,
  };
  let number = 0;
  const send = (isBad: boolean): void => {
    const details = describeRequest(number++, isBad);
    fleet.send({...request, isBad, ...details});
  };
  const sendEach = (count: number, tick: number, isBad: boolean): void => {
    const before = Math.floor((tick * count) / 20);
    const after = Math.floor(((tick + 1) * count) / 20);
    for (let at = before; at < after; at++) send(isBad);
  };
  const calmTicks = CALM_MS / TICK_MS;
  for (let tick = 0; tick < (CALM_MS + options.troubleMs) / TICK_MS; tick++) {
    const since = tick - calmTicks;
    sendEach(options.sound, tick, false);
    if (since >= 0) sendEach(options.bad, tick, true);
    if (options.restarts.includes(since)) {
      fleet.restart(since % options.hosts);
    }
    if (options.outages.includes(since)) {
      fleet.crash(since % options.upstreams);
    }
    fleet.run(TICK_MS);
  }
}
