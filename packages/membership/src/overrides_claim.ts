import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import type {MemberRecord} from './member_record.js';

/**
 * Whether an update supersedes the current claim on the same incarnation.
 * STOPPED is final; otherwise the higher refutation and then the stronger claim
 * win.
 */
export function overridesClaim(
  record: MemberRecord,
  update: MemberUpdate,
): boolean {
  if (record.claim === MemberClaim.MEMBER_CLAIM_STOPPED) return false;
  if (update.claim === MemberClaim.MEMBER_CLAIM_STOPPED) return true;
  if (update.refutation !== record.refutation) {
    return update.refutation > record.refutation;
  }
  return update.claim > record.claim;
}
