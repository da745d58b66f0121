import type {MemberState} from './member_state.js';

/** This host's view of another host of the site. */
export interface Member {
  readonly host: string;
  /** Latest known incarnation; empty until the first one is known. */
  readonly incarnation: string;
  readonly state: MemberState;
  /** IP:port for peers. */
  readonly address: string;
  readonly failureDomain: string;
  /** Whether the current host list contains the host. */
  readonly listed: boolean;
}
