import type {IncomingMessage} from 'node:http';
import type {HeaderNames} from '../header_names.js';
import {readPartIds} from './read_part_ids.js';
import type {RequestMetadata} from './request_metadata.js';

/** Parts after the first ones, more than 16 KB hold, are not told apart. */
const MAX_PARTS = 4_096;
/** More than the memory of all engines; the largest that 32 bits hold. */
const MAX_TOKENS = 4_294_967_295;

const DECIMAL = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Decodes a request's headers. What is no decimal number counts as absent, also with a
 * sign or an exponent.
 *
 * @param target Path with query string, as the caller sent it.
 */
export function readRequestMetadata(
  request: Pick<IncomingMessage, 'headers' | 'method'>,
  target: string,
  names: HeaderNames,
): RequestMetadata {
  const read = (name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  const counts = (read(names.tokenCounts) ?? '').split(',');
  return {
    id: read(names.requestId) ?? '',
    method: request.method ?? 'GET',
    target,
    host: request.headers.host ?? '',
    accountKey: read(names.key),
    timeLimitMs: readNumber(read(names.timeLimit)),
    promptTokens: readTokens(counts[0]),
    maxAnswerTokens: readTokens(counts[1]),
    estimatedAnswerTokens: readTokens(read(names.answerEstimate)),
    promptParts: readSharedParts(read(names.promptParts) ?? ''),
    lastEventId: read(names.lastEventId),
  };
}

/** Reads the ids of all parts but the last, which is the request's own. */
function readSharedParts(text: string): string[] {
  const ids = readPartIds(text).slice(0, MAX_PARTS + 1);
  return [...new Set(ids.slice(0, -1))];
}

/** Reads a number of tokens, as messages between hosts can carry it. */
function readTokens(text: string | undefined): number {
  return Math.min(Math.ceil(readNumber(text) ?? 0), MAX_TOKENS);
}

/** Reads a number in decimal digits; Infinity for one that exceeds a double. */
function readNumber(text = ''): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}
