import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';
import {findMedian} from './find_median.js';
import type {LoadPlan} from './load_plan.js';
import type {LoadResult} from './load_result.js';
import {LocalSite} from './local_site.js';
import {makeReport} from './make_report.js';
import {readResidentMb} from './read_resident_mb.js';
import {runLoad} from './run_load.js';
import {SITE_DEFAULTS} from './site_defaults.js';
import type {SiteOptions} from './site_options.js';
import type {SiteReport} from './site_report.js';

const ACCOUNT = 'team-a';
const SAMPLE_MS = 50;
const LIMIT_MS = 60_000;
/** Lets prompts wait on the host until an engine is free, in milliseconds. */
const OVERNIGHT_MS = 8 * 3_600_000;
/** Memory that holds every prompt of a run, in tokens. */
const AMPLE_MEMORY_TOKENS = 32_000_000;

const SHORT = {
  promptTokens: 200,
  answerTokens: 8,
  escapedShare: 0,
  limitMs: LIMIT_MS,
};
const ONE_SITE = {engines: 1, engineSpeed: 100};
const ONE = {...SHORT, concurrency: 1, requests: 500};
// 64 streams share one engine for about a third of a second each.
const MANY_SITE = {engines: 1, engineSpeed: 2};
const MANY = {...SHORT, answerTokens: 32, concurrency: 64, requests: 1_500};
const THROUGHPUT_SITE = {engines: 4, engineSpeed: 1_000};
const THROUGHPUT = {...SHORT, concurrency: 64, requests: 10_000};
const MEMORY_SITE: Partial<SiteOptions> = {
  engines: 4,
  engineSpeed: 10,
  base: {timeLimits: {maxMs: OVERNIGHT_MS}},
};
const MEMORY = {
  promptTokens: 1_000_000,
  answerTokens: 8,
  escapedShare: 0.25,
  limitMs: OVERNIGHT_MS,
  concurrency: 24,
  requests: 24,
};

type Shape = Omit<LoadPlan, 'urls' | 'direct' | 'key' | 'model' | 'seed'>;

/** Measures what a host adds to a request and what it can carry. */
export async function measureOverhead(
  options: BenchOptions,
): Promise<BenchReport> {
  const seeds = Array.from(
    {length: options.repeats},
    (_, index) => options.seed + index,
  );
  const one = await measureLatency('1', ONE_SITE, ONE, seeds);
  const many = await measureLatency('64', MANY_SITE, MANY, seeds);
  const throughput = await measureThroughput(seeds);
  const memory = await measureMemory(seeds[0] ?? 0);
  const parts = [one, many, throughput];
  const figures = Object.assign({}, ...parts.map(part => part.figures), memory);
  const baseline = Object.assign({}, ...parts.map(part => part.baseline));
  return makeReport(
    {name: 'overhead', seeds, figures, baseline},
    {
      added1P50Ms: {atMost: 1},
      added1P99Ms: {atMost: 5},
      added64P50Ms: {atMost: 1},
      added64P99Ms: {atMost: 5},
      requestsPerSecond: {atLeast: 2_000},
      residentMb: {atMost: 400},
      // The memory counts only when all prompts were in flight.
      millionTokenPromptsAnswered: {atLeast: MEMORY.requests},
    },
  );
}

type Figures = Pick<BenchReport, 'figures' | 'baseline'>;

async function measureLatency(
  name: string,
  siteChanges: Partial<SiteOptions>,
  shape: Shape,
  seeds: readonly number[],
): Promise<Figures> {
  return withSite(siteChanges, async site => {
    // Lets the processes compile what they run and the limits settle.
    await compare(site, {...shape, requests: shape.requests / 2}, 0);
    const pairs: Pair[] = [];
    for (const seed of seeds) pairs.push(await compare(site, shape, seed));
    return {
      figures: describeAdded(name, pairs),
      baseline: describeDirect(name, pairs),
    };
  });
}

async function measureThroughput(seeds: readonly number[]): Promise<Figures> {
  return withSite(THROUGHPUT_SITE, async site => {
    const pairs: Pair[] = [];
    for (const seed of seeds) {
      pairs.push(await compare(site, THROUGHPUT, seed));
    }
    const rates = pairs.map(({host}) => host.perSecond);
    const direct = pairs.map(pair => pair.direct.perSecond);
    return {
      figures: {
        requestsPerSecond: findMedian(rates),
        requestsPerSecondLowest: Math.min(...rates),
        requestsPerSecondHighest: Math.max(...rates),
        throughputFailures: countFailures(pairs),
      },
      baseline: {requestsPerSecond: findMedian(direct)},
    };
  });
}

async function measureMemory(seed: number): Promise<BenchReport['figures']> {
  return withSite(MEMORY_SITE, async site => {
    const operators = site.hosts[0]?.operators ?? '';
    const residentIdleMb = await readResidentMb(operators);
    let residentMb = residentIdleMb;
    const sample = async () => {
      const nowMb = await readResidentMb(operators);
      residentMb = Math.max(residentMb, nowMb);
    };
    const timer = setInterval(() => void sample(), SAMPLE_MS);
    const result = await runLoad(planLoad(site, MEMORY, seed, false));
    clearInterval(timer);
    return {
      residentMb,
      residentIdleMb,
      millionTokenPromptsAnswered: result.answered,
    };
  });
}

/** The same load on an engine directly and through the host. */
interface Pair {
  readonly direct: LoadResult;
  readonly host: LoadResult;
}

async function compare(
  site: SiteReport,
  shape: Shape,
  seed: number,
): Promise<Pair> {
  const direct = await runLoad(planLoad(site, shape, seed, true));
  const host = await runLoad(planLoad(site, shape, seed, false));
  return {direct, host};
}

function planLoad(
  site: SiteReport,
  shape: Shape,
  seed: number,
  direct: boolean,
): LoadPlan {
  const urls = direct
    ? site.engines.map(({url}) => url)
    : site.hosts.map(({callers}) => callers);
  const key = site.keys[ACCOUNT] ?? '';
  return {...shape, urls, direct, key, model: site.model, seed};
}

function describeAdded(
  suffix: string,
  pairs: readonly Pair[],
): Record<string, number> {
  const p50 = pairs.map(
    ({direct, host}) => host.firstTokenP50Ms - direct.firstTokenP50Ms,
  );
  const p99 = pairs.map(
    ({direct, host}) => host.firstTokenP99Ms - direct.firstTokenP99Ms,
  );
  return {
    [`added${suffix}P50Ms`]: findMedian(p50),
    [`added${suffix}P50HighestMs`]: Math.max(...p50),
    [`added${suffix}P99Ms`]: findMedian(p99),
    [`added${suffix}P99HighestMs`]: Math.max(...p99),
    [`failures${suffix}`]: countFailures(pairs),
  };
}

function describeDirect(
  suffix: string,
  pairs: readonly Pair[],
): Record<string, number> {
  const p50 = pairs.map(({direct}) => direct.firstTokenP50Ms);
  const p99 = pairs.map(({direct}) => direct.firstTokenP99Ms);
  return {
    [`firstToken${suffix}P50Ms`]: findMedian(p50),
    [`firstToken${suffix}P99Ms`]: findMedian(p99),
  };
}

function countFailures(pairs: readonly Pair[]): number {
  let total = 0;
  for (const {direct, host} of pairs) {
    for (const {failures} of [direct, host]) {
      for (const count of Object.values(failures)) total += count;
    }
  }
  return total;
}

async function withSite<T>(
  changes: Partial<SiteOptions>,
  use: (site: SiteReport) => Promise<T>,
): Promise<T> {
  const site = new LocalSite({
    ...SITE_DEFAULTS,
    hosts: 1,
    memoryTokens: AMPLE_MEMORY_TOKENS,
    ...changes,
  });
  try {
    return await use(await site.start());
  } finally {
    await site.stop();
  }
}
