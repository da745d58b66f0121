import {createHash} from 'node:crypto';

const MAX_PART_ID_LENGTH = 64;

/**
 * Reads the ids of a prompt's parts in order, from entries ID:TOKENS. In place of a long
 * one stands its SHA-256, so that ids which begin alike stay apart.
 */
export function readPartIds(text: string): string[] {
  return text
    .split(',')
    .map(entry => (entry.split(':', 1)[0] ?? '').trim().toLowerCase())
    .filter(id => id !== '')
    .map(id => (id.length <= MAX_PART_ID_LENGTH ? id : hash(id)));
}

function hash(id: string): string {
  return createHash('sha256').update(id).digest('hex');
}
