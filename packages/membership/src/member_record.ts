import type {MemberClaim} from '@parsleywood/schema/membership';
import type {MemberState} from './member_state.js';

/** What is held of one other host. */
export interface MemberRecord {
  readonly host: string;
  address: string;
  failureDomain: string;
  listed: boolean;
  listedLeaving: boolean;
  /** Latest incarnation known; empty when none was heard of yet. */
  incarnation: string;
  refutation: number;
  claim: MemberClaim;
  /** The incarnation's own word, or its refusal of work. */
  leaving: boolean;
  /** Since when a suspected incarnation has been silent. */
  silentSinceMs: number;
  /** When the incarnation last answered a probe of this host. */
  lastAckMs: number;
  /** State last reported to the adapter. */
  reported?: MemberState;
  reportedProved: boolean;
}
