const NO_VALUE = '-';

/** Formats a settings or status value for a table cell; `-` if undefined. */
export function formatValue(value: unknown): string {
  if (value === undefined) return NO_VALUE;
  return typeof value === 'string' ? value : JSON.stringify(value);
}
