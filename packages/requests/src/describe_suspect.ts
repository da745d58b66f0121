import {findStatus} from './find_status.js';
import type {SuspectRecord} from './suspect_record.js';
import type {SuspectUpdate} from './suspect_update.js';

/** Describes a record for the peers. */
export function describeSuspect(
  record: SuspectRecord,
  nowMs: number,
): SuspectUpdate {
  const {fingerprint, bodyBytes, traits, generation, crashes, blocks} = record;
  return {
    fingerprint,
    bodyBytes,
    traits,
    verdict: findStatus(record, nowMs),
    generation,
    crashes,
    blocks,
    blockedMs: Math.max(0, record.blockedUntilMs - nowMs),
    remainingMs: record.expiresAtMs - nowMs,
  };
}
