import {ErrorKind, Failure} from '@parsleywood/errors';
import type {TimelineQuery} from '@parsleywood/schema/timeline';

const DEFAULT_MAX_EVENTS = 1_000;
const DIGITS = /^\d+$/;
/** The largest number of events that messages between hosts can carry. */
const MAX_EVENTS = 4_294_967_295;

/**
 * Parses the query parameters of an operator's timeline request.
 *
 * @throws Failure if a number has other characters than digits, or is too large.
 */
export function readTimelineQuery(
  query: Readonly<Record<string, string | undefined>>,
): TimelineQuery {
  return {
    requestId: query.request ?? '',
    afterMs: readCount(query.afterMs, 0, Number.MAX_SAFE_INTEGER),
    maxEvents: readCount(query.limit, DEFAULT_MAX_EVENTS, MAX_EVENTS),
  };
}

function readCount(
  text: string | undefined,
  defaultCount: number,
  maxCount: number,
): number {
  if (text === undefined) return defaultCount;
  if (DIGITS.test(text) && Number(text) <= maxCount) return Number(text);
  throw new Failure(
    ErrorKind.INVALID_REQUEST,
    `"${text}" is not a whole number from 0 to ${maxCount}`,
  );
}
