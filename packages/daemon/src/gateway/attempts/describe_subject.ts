import type {RouteMatch} from '@parsleywood/forwarding';
import {describeScopes} from '@parsleywood/requests';
import type {ReceivedRequest} from '../callers/received_request.js';
import {readPartIds} from '../callers/read_part_ids.js';
import type {HeaderNames} from '../header_names.js';
import type {SuspectSubject} from '../../upstreams/suspect_subject.js';
import {listReplacedHeaders} from './list_replaced_headers.js';
import {listEndToEndHeaders} from '../upstreams/list_end_to_end_headers.js';

/**
 * Describes a request by all that reaches its upstream, without what a caller or
 * this host sets anew for each attempt.
 */
export function describeSubject(
  {account}: RouteMatch,
  {metadata, headers: raw, body}: ReceivedRequest,
  names: HeaderNames,
): SuspectSubject {
  const {method, target, promptParts} = metadata;
  // An account has several keys, which are replaced from time to time.
  const accountName = account?.name ?? '';
  const prompt = readPrompt(raw, names);
  const headers = listDetails(raw, names);
  return {
    name: [`${method} ${target} ${accountName}`, prompt, ...headers].join('\n'),
    body,
    scopes: describeScopes({
      method,
      target,
      account: accountName,
      headers,
      prompt: readPartIds(prompt).join(','),
      body,
    }),
    parts: promptParts,
  };
}

/** Lists the headers that tell requests apart, as `name: value`, sorted. */
function listDetails(raw: readonly string[], names: HeaderNames): string[] {
  const excluded = new Set([
    ...listReplacedHeaders(names),
    names.requestId,
    names.promptParts,
  ]);
  const headers = listEndToEndHeaders(raw, excluded);
  const details: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at] ?? '';
    const value = headers[at + 1] ?? '';
    details.push(`${name.toLowerCase()}: ${value.trim()}`);
  }
  return details.sort();
}

/** Returns the header that lists the parts of the prompt, the last one too. */
function readPrompt(
  raw: readonly string[],
  {promptParts}: HeaderNames,
): string {
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]?.toLowerCase() === promptParts) return raw[at + 1] ?? '';
  }
  return '';
}
