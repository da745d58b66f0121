import type {MemberState} from '../member_state.js';

/** A member state change that a host of a virtual site reported. */
export interface SiteChange {
  readonly timeMs: number;
  readonly observer: string;
  readonly host: string;
  readonly incarnation: string;
  readonly state: MemberState;
  readonly proved: boolean;
}
