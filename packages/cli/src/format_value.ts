const NOTHING = '-';

/** Formats one value of the settings, or of a status, for a table. */
export function formatValue(value: unknown): string {
  if (value === undefined) return NOTHING;
  return typeof value === 'string' ? value : JSON.stringify(value);
}
