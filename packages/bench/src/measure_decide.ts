import {
  type Admission,
  type AdmissionAction,
  AdmissionActionKind,
  AdmissionEventKind,
  FairAdmission,
  FifoAdmission,
} from '@parsleywood/admission';
import {
  ChoiceKind,
  LaneRouter,
  LeastInFlightRouter,
  RoundRobinRouter,
  type RoutedRequest,
  type Router,
  RouterEventKind,
} from '@parsleywood/routing';
import type {LengthClassSettings} from '@parsleywood/schema/settings';
import {build as buildHistogram} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';

const UPSTREAM_COUNTS = [15, 150, 1800];
const ACCOUNTS = 20_000;
const ACTIVE_ACCOUNTS = 2000;
const WARM_UP = 2000;
const SAMPLES = 10_000;
/** Requests of one upstream that are in decoding at this host. */
const DECODING_PER_UPSTREAM = 2;
/** Decisions between an attempt's start and its first token. */
const PREFILLING = 100;
const HELD_REQUESTS = 500;
const ROUTE_TARGET_US = 50;
const NS_PER_US = 1000;
const STEP_MS = 1;
/** Decisions in which each upstream reports once. */
const REPORT_EVERY = 500;
const MODEL = 'model';
const LENGTHS = [1000, 4000, 30_000, 200_000];
const LENGTH_CLASSES: [LengthClassSettings, ...LengthClassSettings[]] = [
  {
    name: 'short',
    upToTokens: 8000,
    timeLimitMs: 60_000,
    firstTokenTargetMs: 1000,
  },
  {
    name: 'long',
    upToTokens: 64_000,
    timeLimitMs: 300_000,
    firstTokenTargetMs: 10_000,
  },
  {
    name: 'giant',
    upToTokens: 1_000_000,
    timeLimitMs: 600_000,
    firstTokenTargetMs: 120_000,
  },
];

interface Figures {
  readonly p50: number;
  readonly p99: number;
}

/** Processor time of one routing decision and of one admission, in microseconds. */
export async function measureDecide(
  options: BenchOptions,
): Promise<BenchReport> {
  const seeds = Array.from(
    {length: options.repeats},
    (_, index) => options.seed + index,
  );
  const figures: Record<string, number> = {};
  const baseline: Record<string, number> = {};
  const targets: Record<string, number> = {};
  for (const count of UPSTREAM_COUNTS) {
    const lane = seeds.map(seed =>
      measureRouter(createLaneRouter(seed), count, seed),
    );
    const turns = seeds.map(seed =>
      measureRouter(new RoundRobinRouter(), count, seed),
    );
    const least = seeds.map(seed =>
      measureRouter(new LeastInFlightRouter(), count, seed),
    );
    write(figures, `route${count}`, lane);
    write(baseline, `route${count}RoundRobin`, turns);
    write(baseline, `route${count}LeastInFlight`, least);
  }
  targets['route1800P50Us'] = ROUTE_TARGET_US;
  const fair = seeds.map(seed => measureAdmission(createFairAdmission(seed)));
  const fifo = seeds.map(() => measureAdmission(new FifoAdmission()));
  write(figures, `admit${ACCOUNTS}`, fair);
  write(baseline, `admit${ACCOUNTS}FirstCome`, fifo);
  const met = Object.fromEntries(
    Object.entries(targets).map(([name, bound]) => [
      name,
      (figures[name] ?? Infinity) <= bound,
    ]),
  );
  return {name: 'decide', seeds, figures, baseline, targets, met};
}

/** Writes the median over the runs and the worst of them. */
function write(
  into: Record<string, number>,
  name: string,
  runs: readonly Figures[],
): void {
  const p50s = runs.map(({p50}) => p50).sort((a, b) => a - b);
  const p99s = runs.map(({p99}) => p99).sort((a, b) => a - b);
  const middle = runs.length >> 1;
  into[`${name}P50Us`] = p50s[middle] ?? NaN;
  into[`${name}P99Us`] = p99s[middle] ?? NaN;
  into[`${name}WorstP50Us`] = p50s[p50s.length - 1] ?? NaN;
  into[`${name}WorstP99Us`] = p99s[p99s.length - 1] ?? NaN;
}

/** Times one call after another; what settles them is not timed. */
function time(
  call: (index: number) => void,
  settle: (index: number) => void,
): Figures {
  const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
  for (let index = 0; index < WARM_UP + SAMPLES; index++) {
    const startedNs = process.hrtime.bigint();
    call(index);
    const elapsedNs = Number(process.hrtime.bigint() - startedNs);
    if (index >= WARM_UP) histogram.recordValue(elapsedNs);
    settle(index);
  }
  return {
    p50: histogram.getValueAtPercentile(50) / NS_PER_US,
    p99: histogram.getValueAtPercentile(99) / NS_PER_US,
  };
}

function createLaneRouter(seed: number): LaneRouter {
  return new LaneRouter({
    host: 'host-0',
    lengthClasses: LENGTH_CLASSES,
    random: xoroshiro128plus(seed),
  });
}

function measureRouter(router: Router, count: number, seed: number): Figures {
  const random = xoroshiro128plus(seed);
  const upstreams = Array.from({length: count}, (_, index) => ({
    name: `engine-${index}`,
    model: MODEL,
    memoryTokens: 500_000,
    leaving: false,
  }));
  router.observe({kind: RouterEventKind.UPSTREAMS, upstreams}, 0);
  const prefilling: string[] = [];
  const decoding: string[] = [];
  let nowMs = 0;
  let request = createRequest(0, random, nowMs);
  let choice = router.choose(request, nowMs);
  const settle = (index: number) => {
    nowMs += STEP_MS;
    if (choice.kind === ChoiceKind.UPSTREAM) {
      const {upstream, cachedTokens} = choice;
      const attempt = `a${index}`;
      const kind = RouterEventKind.ATTEMPT_STARTED;
      router.observe({kind, attempt, upstream, request, cachedTokens}, nowMs);
      prefilling.push(attempt);
    }
    if (prefilling.length > PREFILLING) {
      const attempt = prefilling.shift() ?? '';
      router.observe({kind: RouterEventKind.FIRST_TOKEN, attempt}, nowMs);
      decoding.push(attempt);
    }
    if (decoding.length > DECODING_PER_UPSTREAM * count) {
      const attempt = decoding.shift() ?? '';
      const kind = RouterEventKind.ATTEMPT_ENDED;
      router.observe({kind, attempt, succeeded: true}, nowMs);
    }
    for (let reports = 0; reports * REPORT_EVERY < count; reports++) {
      const upstream = `engine-${uniformInt(random, 0, count - 1)}`;
      report(router, upstream, index + 1, random, nowMs);
    }
    request = createRequest(index, random, nowMs);
  };
  return time(() => {
    choice = router.choose(request, nowMs);
  }, settle);
}

function report(
  router: Router,
  upstream: string,
  sequence: number,
  random: RandomGenerator,
  nowMs: number,
): void {
  const queuedTokens = uniformInt(random, 0, 20_000);
  router.observe(
    {
      kind: RouterEventKind.LOAD_REPORT,
      upstream,
      incarnation: '1',
      sequence,
      takenAtMs: nowMs - 100,
      queuedTokens,
      decoding: uniformInt(random, 0, 20),
      usedTokens: uniformInt(random, 0, 200_000),
      longestPrefillTokens: Math.min(queuedTokens, 4000),
    },
    nowMs,
  );
}

function createRequest(
  index: number,
  random: RandomGenerator,
  nowMs: number,
): RoutedRequest {
  const promptTokens = LENGTHS[uniformInt(random, 0, 3)] ?? 1000;
  return {
    id: `r${index}`,
    account: `account-${index % ACTIVE_ACCOUNTS}`,
    model: MODEL,
    promptTokens,
    answerTokens: 300,
    prefixes: [
      {hash: `p${uniformInt(random, 0, 500)}`, tokens: 500},
      {hash: `q${index}`, tokens: 900},
    ],
    arrivedMs: nowMs,
    deadlineMs: nowMs + 600_000,
    excludedUpstreams: [],
  };
}

function createFairAdmission(seed: number): FairAdmission {
  const account = {
    keyHashes: ['0'.repeat(64)] as [string],
    requestsPerSecond: 100,
    tokensPerSecond: 1_000_000,
    concurrentRequests: 100,
  };
  const accounts = Object.fromEntries(
    Array.from({length: ACCOUNTS}, (_, index) => [`account-${index}`, account]),
  );
  return new FairAdmission({
    self: {host: 'host-0', id: '1000-0'},
    settings: {accounts, lengthClasses: LENGTH_CLASSES},
    random: xoroshiro128plus(seed),
  });
}

function measureAdmission(admission: Admission): Figures {
  const hosts = Array.from({length: 5}, (_, index) => `host-${index + 1}`);
  admission.handle({kind: AdmissionEventKind.PEERS, hosts}, 0);
  const admitted: string[] = [];
  let actions: AdmissionAction[] = [];
  let nowMs = 0;
  const submit = (index: number) => {
    const active = index % ACTIVE_ACCOUNTS;
    const account = `account-${active * (ACCOUNTS / ACTIVE_ACCOUNTS)}`;
    actions = admission.handle(
      {
        kind: AdmissionEventKind.REQUESTED,
        id: `r${index}`,
        account,
        model: MODEL,
        lengthClass: LENGTH_CLASSES[index % 3]?.name ?? '',
        tokens: 1000,
        deadlineMs: nowMs + 60_000,
      },
      nowMs,
    );
  };
  return time(submit, () => {
    nowMs += STEP_MS;
    for (const action of actions) {
      if (action.kind === AdmissionActionKind.ADMIT) admitted.push(action.id);
    }
    if (admitted.length <= HELD_REQUESTS) return;
    const id = admitted.shift() ?? '';
    admission.handle({kind: AdmissionEventKind.FIRST_TOKEN, id}, nowMs);
    const kind = AdmissionEventKind.FINISHED;
    admission.handle({kind, id, succeeded: true}, nowMs);
  });
}
