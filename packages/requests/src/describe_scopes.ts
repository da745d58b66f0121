import {createHash} from 'node:crypto';
import type {CallContent} from './call_content.js';

const SCOPE_DIGITS = 16;
/** Parameters after the first ones are not told apart. */
const MAX_PARAMETERS = 8;

/**
 * Returns hashes of the sets of requests that a request belongs to, the widest
 * first: those with its path, account and body, and of these those with its
 * method, and with each parameter of its query.
 */
export function describeScopes(content: CallContent): string[] {
  const {method, target, account, body} = content;
  const [path = '', query = ''] = splitTarget(target);
  const widest = hash(`${account} ${path}\n`, body);
  const parameters = query
    .split('&')
    .filter(parameter => parameter !== '')
    .slice(0, MAX_PARAMETERS);
  const narrower = [`${method} `, ...new Set(parameters)];
  return [widest, ...narrower.map(detail => hash(widest, `\n${detail}`))];
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
