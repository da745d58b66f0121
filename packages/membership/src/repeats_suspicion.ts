import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import type {MemberRecord} from './member_record.js';

/** Whether a claim is the same suspicion as the one held. */
export function repeatsSuspicion(
  record: MemberRecord,
  update: MemberUpdate,
): boolean {
  return (
    record.refutation === update.refutation &&
    record.claim === MemberClaim.MEMBER_CLAIM_SUSPECTED &&
    update.claim === MemberClaim.MEMBER_CLAIM_SUSPECTED
  );
}
