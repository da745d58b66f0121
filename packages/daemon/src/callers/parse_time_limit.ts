import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';

const DIGITS = /^[0-9]{1,12}$/;

/** Parses the header request-timeout-ms; undefined if it is absent. */
export function parseTimeLimit(
  header: string | string[] | undefined,
  maxMs: number,
): Result<number | undefined, Failure> {
  if (header === undefined) return Result.ok(undefined);
  const limitMs =
    typeof header === 'string' && DIGITS.test(header) ? Number(header) : 0;
  if (limitMs >= 1 && limitMs <= maxMs) return Result.ok(limitMs);
  return Result.err(
    new Failure(
      ErrorKind.INVALID_REQUEST,
      `header request-timeout-ms is "${String(header)}"; it must be a whole number of milliseconds from 1 to ${maxMs}`,
    ),
  );
}
