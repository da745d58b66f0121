import {BLOCK_TIMES_MS} from './block_times.js';
import type {SuspectRecord} from './suspect_record.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of what hosts have to agree on in a record. */
export function computeRecordHash({
  fingerprint,
  generation,
  crashes,
  blocks,
}: Omit<SuspectRecord, 'expiresAtMs' | 'hash'>): number {
  const isFinal = blocks === BLOCK_TIMES_MS.length;
  // Hosts of earlier versions know final blocks and none.
  const block = blocks === 0 || isFinal ? isFinal : blocks;
  const text = `${fingerprint} ${generation} ${crashes} ${block}`;
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  return hash >>> 0;
}
