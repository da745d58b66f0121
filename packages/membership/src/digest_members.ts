import {createHash} from 'node:crypto';
import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';

const DIGEST_CHARACTERS = 16;

/** Hashes member updates; leaves out suspicions, which change too quickly. */
export function digestMembers(members: readonly MemberUpdate[]): string {
  const lines = members.map(member => {
    const {host, incarnation, refutation, leaving} = member;
    const dead = member.claim >= MemberClaim.MEMBER_CLAIM_DEAD;
    return [host, incarnation, refutation, leaving, dead].join(' ');
  });
  return createHash('sha256')
    .update(lines.sort().join('\n'))
    .digest('hex')
    .slice(0, DIGEST_CHARACTERS);
}
