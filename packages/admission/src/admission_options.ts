import type {LaneDemand} from '@parsleywood/schema/limits';
import type {Incarnation} from '@parsleywood/types';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {AdmissionSettings} from './admission_settings.js';

/** Options of {@link FairAdmission}. */
export interface AdmissionOptions {
  /** This host. */
  readonly self: Incarnation;
  readonly settings: AdmissionSettings;
  /** Generator whose seed differs on each host. */
  readonly random: RandomGenerator;
  /**
   * Returns the live hosts that callers of an account are directed to; all
   * hosts of the site when absent.
   */
  readonly listHosts?: (account: string) => readonly string[];
  /** Demand by length class, included in messages for the routers of the peers. */
  readonly getLaneDemand?: (nowMs: number) => readonly LaneDemand[];
  /**
   * Requests with at least this time to their deadline are batch work, which
   * waits for spare capacity; 1 hour when absent.
   */
  readonly batchThresholdMs?: number;
  /** Maximum queue length of one model and length class; 1000 when absent. */
  readonly maxQueued?: number;
}
