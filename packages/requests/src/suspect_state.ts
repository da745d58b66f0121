import type {CrashStatus} from './crash_status.js';

/** What is known of the crashes of a request at one moment. */
export interface SuspectState {
  readonly status: CrashStatus;
  /** Number of times that the suspicion was cleared by a complete response. */
  readonly generation: number;
  /**
   * Successive crashes since then: each by an attempt that was started after
   * the one before it was known.
   */
  readonly crashes: number;
  /** Whether another host has told of the request, so that it may run there. */
  readonly isKnownToPeers: boolean;
}
