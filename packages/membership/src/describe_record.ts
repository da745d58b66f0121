import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import type {MemberRecord} from './member_record.js';

/** Converts a record to the update that is sent to peers. */
export function describeRecord(
  record: MemberRecord,
  nowMs: number,
): MemberUpdate {
  const {host, incarnation, refutation, claim, leaving} = record;
  const isSuspected = claim === MemberClaim.MEMBER_CLAIM_SUSPECTED;
  const silentMs = isSuspected ? Math.round(nowMs - record.silentSinceMs) : 0;
  return {
    host,
    incarnation,
    refutation,
    claim,
    leaving,
    silentMs: Math.max(0, silentMs),
  };
}
