import type {MemberClaim} from '@parsleywood/schema/membership';
import type {MemberState} from './member_state.js';

/** Mutable state that this host keeps for another host. */
export interface MemberRecord {
  readonly host: string;
  address: string;
  failureDomain: string;
  listed: boolean;
  listedLeaving: boolean;
  /** Latest known incarnation; empty until the first one is known. */
  incarnation: string;
  refutation: number;
  claim: MemberClaim;
  /** Set when the incarnation announced that it is leaving or refused work. */
  leaving: boolean;
  /** Start of the silence of a suspected incarnation. */
  silentSinceMs: number;
  /** When the incarnation last answered a probe from this host. */
  lastAckMs: number;
  /** State last reported to the adapter by a MEMBER_CHANGED action. */
  reported?: MemberState;
  reportedProved: boolean;
}
