import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import type {MemberRecord} from './member_record.js';

/** Whether an update repeats the suspicion that the record already holds. */
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
