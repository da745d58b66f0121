import {ErrorKind, Failure} from '@parsleywood/errors';
import type {TimelineQuery} from '@parsleywood/schema/timeline';

const DEFAULT_MAX_EVENTS = 1_000;

/**
 * Parses the query parameters of an operator's timeline request.
 *
 * @throws Failure if a number is negative or not an integer.
 */
export function readTimelineQuery(
  query: Readonly<Record<string, string | undefined>>,
): TimelineQuery {
  return {
    requestId: query.request ?? '',
    afterMs: readCount(query.afterMs, 0),
    maxEvents: readCount(query.limit, DEFAULT_MAX_EVENTS),
  };
}

function readCount(text: string | undefined, defaultCount: number): number {
  if (text === undefined) return defaultCount;
  const count = Number(text);
  if (Number.isInteger(count) && count >= 0) return count;
  throw new Failure(
    ErrorKind.INVALID_REQUEST,
    `"${text}" is not a whole number of 0 or more`,
  );
}
