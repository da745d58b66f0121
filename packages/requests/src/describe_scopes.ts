import {createHash} from 'node:crypto';
import type {CallContent} from './call_content.js';

const SCOPE_DIGITS = 16;
/** Parameters and headers after the first ones are not told apart. */
const MAX_PARAMETERS = 32;
const MAX_HEADERS = 32;

/**
 * Returns hashes of the sets of requests that a request belongs to. The first set
 * has the same path, account, body and prompt: it tells requests apart, also when
 * they come again with other details. The others have the same path, account and
 * body, and of these the same method, parameter of the query, or header.
 */
export function describeScopes(content: CallContent): string[] {
  const {method, target, account, headers, prompt, body} = content;
  const [path = '', query = ''] = splitTarget(target);
  const call = hash(`${account} ${path}\n`, body);
  const parameters = query.split('&').filter(parameter => parameter !== '');
  const details = [
    `${method} `,
    ...new Set(parameters.slice(0, MAX_PARAMETERS)),
    ...new Set(headers.slice(0, MAX_HEADERS)),
  ];
  const scopes = [call, ...details.map(detail => hash(call, `\n${detail}`))];
  return prompt === '' ? scopes : [hash(call, `\nprompt ${prompt}`), ...scopes];
}

function splitTarget(target: string): [string, string] {
  const at = target.indexOf('?');
  return at < 0 ? [target, ''] : [target.slice(0, at), target.slice(at + 1)];
}

function hash(head: string, content: Uint8Array | string): string {
  return createHash('sha256')
    .update(head)
    .update(content)
    .digest('hex')
    .slice(0, SCOPE_DIGITS);
}
