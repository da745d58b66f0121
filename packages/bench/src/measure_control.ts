import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';
import type {BenchTarget} from './bench_target.js';
import type {ControlPlan} from './control_plan.js';
import type {ControlResult} from './control_result.js';
import type {ControlSample} from './control_sample.js';
import {findMedian} from './find_median.js';
import {fitLine} from './fit_line.js';
import {makeReport} from './make_report.js';
import {runControl} from './run_control.js';

const MAX_PROCESSOR_PERCENT = 1.8;
const MAX_RESIDENT_MB = 128;
const MAX_BYTES_PER_S = 27_000;
const USUAL: ControlPlan = {hosts: 6, engines: 4, accounts: 10};
const HOSTS = [3, 6, 9, 18, 36];
const ENGINES = [15, 60];
const ACCOUNTS = [2_000, 20_000];
const DECIMALS = 1_000;

type Axis = keyof ControlPlan;

/**
 * Measures what control costs one host without callers, for sites of several
 * numbers of hosts, engines and client accounts; the baseline is a lone host.
 */
export async function measureControl({
  seed,
  repeats,
}: BenchOptions): Promise<BenchReport> {
  const results: ControlResult[] = [];
  for (const plan of listPlans()) {
    results.push(await runControl(plan, repeats));
  }
  const lone = await runControl({...USUAL, hosts: 1}, repeats);
  const figures: Record<string, number> = {};
  const bounds: Record<string, BenchTarget> = {};
  for (const result of results) {
    Object.assign(figures, describe(result));
    const name = nameOf(result.plan);
    bounds[`processorPercent${name}`] = {atMost: MAX_PROCESSOR_PERCENT};
    bounds[`residentMb${name}`] = {atMost: MAX_RESIDENT_MB};
    bounds[`bytesPerS${name}`] = {atMost: MAX_BYTES_PER_S};
  }
  for (const axis of ['hosts', 'engines', 'accounts'] as const) {
    Object.assign(figures, describeSlopes(axis, results));
  }
  const baseline = describe(lone);
  const measured = {name: 'control', seeds: [seed], figures, baseline};
  return makeReport(measured, bounds);
}

function listPlans(): ControlPlan[] {
  return [
    ...HOSTS.map(hosts => ({...USUAL, hosts})),
    ...ENGINES.map(engines => ({...USUAL, engines})),
    ...ACCOUNTS.map(accounts => ({...USUAL, accounts})),
  ];
}

function nameOf({hosts, engines, accounts}: ControlPlan): string {
  return `At${hosts}Hosts${engines}Engines${accounts}Accounts`;
}

function describe(result: ControlResult): Record<string, number> {
  const name = nameOf(result.plan);
  const figures: Record<string, number> = {};
  for (const [figure, value] of Object.entries(summarize(result))) {
    figures[`${figure}${name}`] = round(value);
  }
  for (const figure of ['processorPercent', 'bytesPerS'] as const) {
    const values = result.samples.map(sample => sample[figure]);
    const spread = Math.max(...values) - Math.min(...values);
    figures[`${figure}Spread${name}`] = round(spread);
  }
  const {residentMb} = result;
  figures[`residentMbMost${name}`] = round(Math.max(...residentMb));
  return figures;
}

/** Medians over the windows, and over the hosts for memory. */
function summarize(result: ControlResult): Record<string, number> {
  const {samples, residentMb, changeProcessorMs, changeBytes} = result;
  const summary: Record<string, number> = {
    residentMb: findMedian(residentMb),
    changeProcessorMs,
    changeBytes,
  };
  const names = Object.keys(samples[0] ?? {}) as (keyof ControlSample)[];
  for (const name of names) {
    summary[name] = findMedian(samples.map(sample => sample[name]));
  }
  return summary;
}

/** Slopes along one axis, over the sites that differ in it alone. */
function describeSlopes(
  axis: Axis,
  results: readonly ControlResult[],
): Record<string, number> {
  const others = (['hosts', 'engines', 'accounts'] as const).filter(
    other => other !== axis,
  );
  const line = results.filter(({plan}) =>
    others.every(other => plan[other] === USUAL[other]),
  );
  const summaries = line.map(result => summarize(result));
  const slopes: Record<string, number> = {};
  for (const figure of Object.keys(summaries[0] ?? {})) {
    const points = line.map(
      ({plan}, i) => [plan[axis], summaries[i]?.[figure] ?? NaN] as const,
    );
    const {slope, offset} = fitLine(points);
    slopes[`${figure}SlopeBy_${axis}`] = Number(slope.toPrecision(4));
    slopes[`${figure}OffsetBy_${axis}`] = Number(offset.toPrecision(4));
  }
  return slopes;
}

function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}
