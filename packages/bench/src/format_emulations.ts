import type {Emulation} from '@parsleywood/emulator';
import Table from 'cli-table3';

/** Formats the outcome of each policy as a table, a row for each kind. */
export function formatEmulations(emulations: readonly Emulation[]): string {
  const table = new Table({
    head: [
      'policy',
      'worth',
      'kind',
      'asked',
      'in time',
      'late',
      'refused',
      'failed',
      'first event, median ms',
    ],
    style: {head: [], border: []},
  });
  for (const {policy, worth, kinds} of emulations) {
    for (const one of kinds) {
      table.push([
        policy,
        worth.toFixed(3),
        one.kind,
        one.asked,
        one.inTime,
        one.late,
        one.refused,
        one.failed,
        one.firstMedianMs,
      ]);
    }
  }
  return `${table.toString()}\n`;
}
