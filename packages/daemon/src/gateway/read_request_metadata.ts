import type {IncomingMessage} from 'node:http';
import type {HeaderNames} from './header_names.js';
import type {RequestFacts} from './request_metadata.js';

/**
 * Reads what the headers of a request say.
 *
 * @param target Path with query, as the caller sent it.
 */
export function readRequestFacts(
  request: IncomingMessage,
  target: string,
  names: HeaderNames,
): RequestFacts {
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
    key: read(names.key),
    timeLimitMs: readNumber(read(names.timeLimit)),
    promptTokens: readNumber(counts[0]) ?? 0,
    maxAnswerTokens: readNumber(counts[1]) ?? 0,
    answerEstimate: readNumber(read(names.answerEstimate)) ?? 0,
    lastEventId: readNumber(read(names.lastEventId)),
  };
}

function readNumber(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === '') return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}
