import type {AttemptHeaderValues} from './attempt_header_values.js';
import type {HeaderNames} from '../header_names.js';
import {listReplacedHeaders} from './list_replaced_headers.js';
import {listEndToEndHeaders} from '../upstreams/list_end_to_end_headers.js';

/**
 * Builds the headers of an attempt: the caller's end-to-end headers, without
 * those that only this host may set, followed by this host's own. The caller's event
 * ids go on as they came until the stream is resumed after another event.
 *
 * @param raw The caller's headers, names and values alternating.
 */
export function buildAttemptHeaders(
  raw: readonly string[],
  bodyBytes: number,
  values: AttemptHeaderValues,
  names: HeaderNames,
): string[] {
  const excluded = new Set(listReplacedHeaders(names));
  if (values.lastEventId === undefined) excluded.delete(names.lastEventId);
  const headers = listEndToEndHeaders(raw, excluded);
  const add = (name: string, value: string | number | undefined): void => {
    if (value !== undefined) headers.push(name, String(value));
  };
  add(names.timeLimit, Math.max(1, Math.floor(values.leftMs)));
  add(names.expectedUpstream, values.upstreamId);
  add(names.account, values.account);
  add(names.lastEventId, values.lastEventId);
  add(names.rank, values.rank);
  if (values.helpers.length > 0) add(names.helpers, values.helpers.join(','));
  if (bodyBytes > 0) add('content-length', bodyBytes);
  return headers;
}
