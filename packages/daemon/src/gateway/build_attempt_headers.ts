import type {AttemptOrders} from './attempt_header_values.js';
import type {HeaderNames} from './header_names.js';
import {listEndToEndHeaders} from './list_end_to_end_headers.js';

/**
 * Lists the headers of an attempt: the caller's own, less what only this host may
 * say, and this host's.
 *
 * @param raw The caller's headers, names and values by turns.
 */
export function writeAttemptHeaders(
  raw: readonly string[],
  bodyBytes: number,
  orders: AttemptOrders,
  names: HeaderNames,
): string[] {
  const reserved = new Set([
    'content-length',
    names.key,
    names.account,
    names.timeLimit,
    names.expectedUpstream,
    names.rank,
    names.helpers,
    names.lastEventId,
  ]);
  const headers = listEndToEndHeaders(raw, reserved);
  const add = (name: string, value: string | number | undefined): void => {
    if (value !== undefined) headers.push(name, String(value));
  };
  add(names.timeLimit, Math.max(1, Math.floor(orders.leftMs)));
  add(names.expectedUpstream, orders.upstreamId);
  add(names.account, orders.account);
  add(names.lastEventId, orders.afterEventId);
  add(names.rank, orders.rank);
  if (orders.helpers.length > 0) add(names.helpers, orders.helpers.join(','));
  if (bodyBytes > 0) add('content-length', bodyBytes);
  return headers;
}
