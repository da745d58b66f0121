import type {SuspectRecord} from './suspect_record.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of what hosts have to agree on in a record. */
export function computeRecordHash({
  fingerprint,
  generation,
  crashes,
  isBlocked,
}: Omit<SuspectRecord, 'expiresAtMs' | 'hash'>): number {
  const text = `${fingerprint} ${generation} ${crashes} ${isBlocked}`;
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  return hash >>> 0;
}
