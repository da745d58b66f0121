import {MemberClaim} from '@parsleywood/schema/membership';
import type {MemberRecord} from './member_record.js';
import {MemberState} from './member_state.js';

/** Derives a host's state from its claim and its leaving and listed flags. */
export function resolveState(record: MemberRecord): MemberState {
  if (record.claim >= MemberClaim.MEMBER_CLAIM_DEAD) return MemberState.DEAD;
  if (record.leaving || record.listedLeaving || !record.listed) {
    return MemberState.LEAVING;
  }
  if (record.claim === MemberClaim.MEMBER_CLAIM_SUSPECTED) {
    return MemberState.SUSPECTED;
  }
  return MemberState.ALIVE;
}
