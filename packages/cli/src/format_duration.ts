const UNITS: readonly (readonly [string, number])[] = [
  ['d', 86_400_000],
  ['h', 3_600_000],
  ['min', 60_000],
  ['s', 1_000],
];
const NO_VALUE = '-';

/**
 * Formats a duration in the largest unit that it fills and drops the rest: 26
 * hours give `1 d`. Gives `-` if undefined.
 */
export function formatDuration(durationMs: number | undefined): string {
  if (durationMs === undefined) return NO_VALUE;
  for (const [unit, unitMs] of UNITS) {
    if (durationMs >= unitMs) {
      return `${Math.floor(durationMs / unitMs)} ${unit}`;
    }
  }
  return `${Math.round(durationMs)} ms`;
}
