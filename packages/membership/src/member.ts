import type {MemberState} from './member_state.js';

/** One host of the site as this host sees it. */
export interface Member {
  readonly host: string;
  /** Latest incarnation known; empty when none was heard of yet. */
  readonly incarnation: string;
  readonly state: MemberState;
  /** IP:port for peers. */
  readonly address: string;
  readonly failureDomain: string;
  /** Whether the newest host list held names the host. */
  readonly listed: boolean;
}
