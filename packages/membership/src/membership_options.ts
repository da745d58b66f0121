import type {Incarnation} from '@parsleywood/types';
import type {MembershipSettings} from './membership_settings.js';

/** What a membership instance is built from. */
export interface MembershipOptions {
  /** The incarnation that runs it. */
  readonly self: Incarnation;
  /** IP:port of this host for peers. */
  readonly address: string;
  readonly settings: MembershipSettings;
  /** Seed of all random choices. */
  readonly seed: number;
}
