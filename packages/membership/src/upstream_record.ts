import type {UpstreamState} from './upstream_state.js';

/** Mutable state that one host keeps for an upstream. */
export interface UpstreamRecord {
  readonly upstream: string;
  state: UpstreamState;
  listedLeaving: boolean;
  /** Consecutive failed calls. */
  failures: number;
  /** Consecutive failed probes. */
  failedProbes: number;
  /** Times that it was reported leaving while the list showed it live. */
  leavingReports: number;
  lastSuccessMs: number;
  /** When the next probe is due, also of a leaving upstream. */
  nextProbeMs: number;
  /** When the probe in flight was sent; undefined if there is none. */
  probeSentMs?: number;
}
