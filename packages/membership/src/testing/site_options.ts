import type {MembershipSettings} from '../membership_settings.js';
import type {MembershipAction} from '../membership_action.js';

/** What a virtual site is built from. */
export interface SiteOptions {
  readonly hosts: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings: MembershipSettings;
  /** Share of messages lost, from 0 to 1. */
  readonly lossRate?: number;
  /** Called for each action that a host asks for. */
  readonly onAction?: (host: string, action: MembershipAction) => void;
}
