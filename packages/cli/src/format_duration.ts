const UNITS: readonly (readonly [string, number])[] = [
  ['d', 86_400_000],
  ['h', 3_600_000],
  ['min', 60_000],
  ['s', 1_000],
];
const NOTHING = '-';

/** Formats milliseconds in their largest whole unit. */
export function formatDuration(durationMs: number | undefined): string {
  if (durationMs === undefined) return NOTHING;
  for (const [unit, unitMs] of UNITS) {
    if (durationMs >= unitMs) {
      return `${Math.floor(durationMs / unitMs)} ${unit}`;
    }
  }
  return `${Math.round(durationMs)} ms`;
}
