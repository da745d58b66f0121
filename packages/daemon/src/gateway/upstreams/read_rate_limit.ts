const DECIMAL = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Reads the requests a second that an upstream takes from all hosts.
 *
 * @param text Decimal digits; one value.
 * @return Undefined if the field is missing or cannot be read.
 */
export function readRateLimit(
  text: string | string[] | undefined,
): number | undefined {
  if (typeof text !== 'string' || !DECIMAL.test(text)) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
