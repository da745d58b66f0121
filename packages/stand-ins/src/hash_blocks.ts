import {createHash} from 'node:crypto';
import {BYTES_PER_TOKEN} from './bytes_per_token.js';

const HASH_DIGITS = 16;

/**
 * Hashes the full blocks of a prompt: each hash is the first 16 hexadecimal
 * digits of SHA-256 over the hash before it, as text, and the block's bytes.
 */
export function hashBlocks(prompt: string, blockTokens: number): string[] {
  const blockBytes = blockTokens * BYTES_PER_TOKEN;
  const bytes = Buffer.from(prompt);
  const hashes: string[] = [];
  let hash = '';
  for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
    hash = createHash('sha256')
      .update(hash)
      .update(bytes.subarray(end - blockBytes, end))
      .digest('hex')
      .slice(0, HASH_DIGITS);
    hashes.push(hash);
  }
  return hashes;
}
