import type {HeaderNames} from '../header_names.js';

/** Lists the headers, in lower case, that a host removes or sets itself for an attempt. */
export function listReplacedHeaders(names: HeaderNames): string[] {
  return [
    'content-length',
    names.key,
    names.account,
    names.timeLimit,
    names.expectedUpstream,
    names.rank,
    names.helpers,
    names.lastEventId,
  ];
}
