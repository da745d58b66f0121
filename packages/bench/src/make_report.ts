import type {BenchReport} from './bench_report.js';
import type {BenchTarget} from './bench_target.js';

/** Makes a report, comparing the figures with their bounds. */
export function makeReport(
  measured: Pick<BenchReport, 'name' | 'seeds' | 'figures' | 'baseline'>,
  bounds: Readonly<Record<string, BenchTarget>>,
): BenchReport {
  const targets: Record<string, number> = {};
  const met: Record<string, boolean> = {};
  for (const [name, {atMost, atLeast}] of Object.entries(bounds)) {
    const figure = measured.figures[name] ?? NaN;
    targets[name] = atMost ?? atLeast ?? NaN;
    met[name] =
      figure <= (atMost ?? Infinity) && figure >= (atLeast ?? -Infinity);
  }
  return {...measured, targets, met};
}
