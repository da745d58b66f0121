import type {UpstreamState} from './upstream_state.js';

/** What one host holds of an upstream. */
export interface UpstreamRecord {
  readonly upstream: string;
  state: UpstreamState;
  listedLeaving: boolean;
  /** Failures in a row. */
  failures: number;
  /** Failed probes in a row. */
  failedProbes: number;
  /** How often it was told leaving while the list showed it live. */
  timesTold: number;
  lastSuccessMs: number;
  /** When the next probe, or the next look at a leaving one, is due. */
  nextProbeMs: number;
  /** When the probe in flight was sent; undefined for none. */
  probeSentMs?: number;
}
