import type {Incarnation} from '@parsleywood/types';
import type {MembershipSettings} from './membership_settings.js';

/** Constructor options of Membership. */
export interface MembershipOptions {
  /** Host name and incarnation id of this process. */
  readonly self: Incarnation;
  /** IP:port at which this host accepts peer traffic. */
  readonly address: string;
  readonly settings: MembershipSettings;
  /** Seed of the random number generator; equal seeds give equal choices. */
  readonly seed: number;
}
