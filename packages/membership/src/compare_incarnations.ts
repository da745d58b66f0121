/**
 * Orders incarnation ids by start time, then by text.
 *
 * @return Below zero if a is earlier, above zero if later, zero if the same.
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
