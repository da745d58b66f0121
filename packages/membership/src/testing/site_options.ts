import type {MembershipSettings} from '../membership_settings.js';
import type {MembershipAction} from '../membership_action.js';

/** Constructor options of VirtualSite. */
export interface SiteOptions {
  readonly hosts: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings: MembershipSettings;
  /** Fraction of messages that are lost, from 0 to 1. */
  readonly lossRate?: number;
  /** Called for each action that a host returns. */
  readonly onAction?: (host: string, action: MembershipAction) => void;
}
