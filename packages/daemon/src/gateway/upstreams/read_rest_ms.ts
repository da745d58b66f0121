const SERVICE_UNAVAILABLE_STATUS = 503;
const MS_PER_SECOND = 1_000;
const SECONDS = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Reads how long an upstream that refused a request wants no other, in milliseconds.
 *
 * @param retryAfter Field `Retry-After`; only a number of seconds counts, as the
 *     clocks of upstreams differ.
 * @return 0 if it does not ask for a rest; undefined if it names a time that cannot
 *     be read.
 */
export function readRestMs(
  status: number,
  retryAfter: string | string[] | undefined,
): number | undefined {
  if (status !== SERVICE_UNAVAILABLE_STATUS || retryAfter === undefined) {
    return 0;
  }
  const text = String(retryAfter);
  return SECONDS.test(text) ? Number(text) * MS_PER_SECOND : undefined;
}
