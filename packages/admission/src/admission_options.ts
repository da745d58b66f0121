import type {LaneDemand} from '@parsleywood/schema/limits';
import type {Incarnation} from '@parsleywood/types';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {AdmissionSettings} from './admission_settings.js';

/** What a fair admission is built from. */
export interface AdmissionOptions {
  /** This host. */
  readonly self: Incarnation;
  readonly settings: AdmissionSettings;
  /** Seeded apart on each host. */
  readonly random: RandomGenerator;
  /**
   * The live hosts that callers of an account are sent to; all hosts of the
   * site when absent.
   */
  readonly hostsOf?: (account: string) => readonly string[];
  /** Demand by length class, sent along to the peers for their routers. */
  readonly laneDemand?: (nowMs: number) => readonly LaneDemand[];
  /** Requests with at least this time left wait for slack; 1 hour when absent. */
  readonly batchLimitMs?: number;
  /** Longest queue of one model and length class; 1000 when absent. */
  readonly maxQueued?: number;
}
