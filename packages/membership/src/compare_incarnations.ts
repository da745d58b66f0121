/**
 * Compares incarnation ids by start time, then as strings.
 *
 * @return Negative if a started earlier, positive if later, zero if equal.
 */
export function compareIncarnations(a: string, b: string): number {
  if (a === b) return 0;
  const difference = readStartMs(a) - readStartMs(b);
  if (difference !== 0) return difference;
  return a < b ? -1 : 1;
}

function readStartMs(id: string): number {
  const startMs = Number.parseInt(id, 10);
  return Number.isNaN(startMs) ? -1 : startMs;
}
