import Table from 'cli-table3';
import type {BenchReport} from './bench_report.js';

const DIGITS = 3;

/** Formats a report as a table. */
export function formatReport(report: BenchReport): string {
  const {name, seeds, figures, baseline, targets, met} = report;
  const table = new Table({
    head: [name, 'figure', 'baseline', 'target', 'met'],
    style: {head: [], border: []},
  });
  const names = new Set([...Object.keys(figures), ...Object.keys(baseline)]);
  for (const row of names) {
    const isMet = met[row];
    table.push([
      row,
      formatNumber(figures[row]),
      formatNumber(baseline[row]),
      formatNumber(targets[row]),
      isMet === undefined ? '' : isMet ? 'yes' : 'no',
    ]);
  }
  return `${table.toString()}\nSeeds: ${seeds.join(', ')}\n`;
}

function formatNumber(value: number | undefined): string {
  return value === undefined ? '' : String(Number(value.toFixed(DIGITS)));
}
