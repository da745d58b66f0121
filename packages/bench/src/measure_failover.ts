import {pause} from '@parsleywood/stand-ins';
import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';
import {CallerLoad} from './caller_load.js';
import type {CompletionRecord} from './completion_record.js';
import {findMedian} from './find_median.js';
import {LocalSite} from './local_site.js';
import {makeReport} from './make_report.js';
import {readExecutions} from './read_executions.js';
import {setFaults} from './set_faults.js';
import {SITE_DEFAULTS} from './site_defaults.js';

const BEFORE_MS = 8_000;
const AFTER_MS = 12_000;
const WINDOW_MS = 1_000;
const WINDOW_STEP_MS = 100;
/** First-token time is back once it is within this factor of before. */
const BACK_FACTOR = 1.1;
const LOAD = {
  completionsPerSecond: 40,
  ordersPerSecond: 5,
  promptTokens: 200,
  answerTokens: 128,
  limitMs: 10_000,
};
const DOOMED_HOST = 'host-1';

/** What a death did to the requests around it. */
interface Outcome {
  readonly lost: number;
  readonly refused: number;
  readonly wrong: number;
  readonly doubled: number;
  readonly backMs: number;
}

/** Measures the death of a host and of an engine under steady load. */
export async function measureFailover(
  options: BenchOptions,
): Promise<BenchReport> {
  const seeds = Array.from(
    {length: options.repeats},
    (_, index) => options.seed + index,
  );
  const hosts: Outcome[] = [];
  const engines: Outcome[] = [];
  for (const seed of seeds) {
    hosts.push(await measureDeath(seed, killHost));
    engines.push(await measureDeath(seed, crashEngine));
  }
  const figures = {...describe('host', hosts), ...describe('engine', engines)};
  return makeReport(
    {name: 'failover', seeds, figures, baseline: {}},
    {
      hostWrong: {atMost: 0},
      hostDoubled: {atMost: 0},
      engineLost: {atMost: 0},
      engineWrong: {atMost: 0},
      engineDoubled: {atMost: 0},
    },
  );
}

type Death = (site: LocalSite, engine: string) => Promise<void>;

async function killHost(site: LocalSite): Promise<void> {
  site.findHost(DOOMED_HOST)?.signal('SIGKILL');
}

async function crashEngine(_site: LocalSite, engine: string): Promise<void> {
  await setFaults(engine, {crash: true});
}

async function measureDeath(seed: number, die: Death): Promise<Outcome> {
  const local = new LocalSite(SITE_DEFAULTS);
  try {
    const site = await local.start();
    const load = new CallerLoad(site, {...LOAD, seed});
    load.start();
    await pause(BEFORE_MS);
    const diedAtMs = performance.now();
    await die(local, site.engines[0]?.url ?? '');
    await pause(AFTER_MS);
    await load.stop();
    const executions = await readExecutions(site);
    const doubled = [...executions.values()].filter(count => count > 1);
    return {
      ...countResults(load.completions),
      doubled: doubled.length,
      backMs: findBackMs(load.completions, diedAtMs),
    };
  } finally {
    await local.stop();
  }
}

function countResults(
  completions: readonly CompletionRecord[],
): Pick<Outcome, 'lost' | 'refused' | 'wrong'> {
  let lost = 0;
  let refused = 0;
  let wrong = 0;
  for (const {expected, result} of completions) {
    const {status, whole, text} = result;
    if (whole && text !== expected) wrong++;
    else if (status === 429 || status === 503) refused++;
    else if (!whole) lost++;
  }
  return {lost, refused, wrong};
}

/** Time until first-token time is back, in milliseconds; NaN when it is not. */
function findBackMs(
  completions: readonly CompletionRecord[],
  diedAtMs: number,
): number {
  const medianOf = (fromMs: number, toMs: number) =>
    findMedian(
      completions
        .filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < toMs)
        .map(({result}) => result.firstTokenMs)
        .map(ms => (Number.isNaN(ms) ? Infinity : ms)),
    );
  // The first half lets the processes settle.
  const before = medianOf(diedAtMs - BEFORE_MS / 2, diedAtMs);
  for (let ms = 0; ms <= AFTER_MS - WINDOW_MS; ms += WINDOW_STEP_MS) {
    const fromMs = diedAtMs + ms;
    const now = medianOf(fromMs, fromMs + WINDOW_MS);
    if (now <= before * BACK_FACTOR) return ms;
  }
  return NaN;
}

function describe(
  name: string,
  outcomes: readonly Outcome[],
): Record<string, number> {
  const sum = (read: (outcome: Outcome) => number) =>
    outcomes.reduce((total, outcome) => total + read(outcome), 0);
  const back = outcomes.map(({backMs}) => backMs);
  return {
    [`${name}Lost`]: sum(({lost}) => lost),
    [`${name}Refused`]: sum(({refused}) => refused),
    [`${name}Wrong`]: sum(({wrong}) => wrong),
    [`${name}Doubled`]: sum(({doubled}) => doubled),
    [`${name}BackMs`]: findMedian(back),
    [`${name}BackHighestMs`]: Math.max(...back),
  };
}
