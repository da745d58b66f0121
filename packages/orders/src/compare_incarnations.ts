import {parseStartTime} from './parse_start_time.js';

/** Compares incarnation ids of one host by start time, then as text. */
export function compareIncarnations(a: string, b: string): number {
  if (a === b) return 0;
  const byStart = parseStartTime(a) - parseStartTime(b);
  if (byStart !== 0) return byStart;
  return a < b ? -1 : 1;
}
