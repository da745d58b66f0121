import type {CrashStatus} from './crash_status.js';

/** Message to the peers about a request that crashed an upstream. */
export interface SuspectUpdate {
  /** SHA-256 that identifies the request, in hexadecimal. */
  readonly fingerprint: string;
  /** Length of the body, in bytes. */
  readonly bodyBytes: number;
  /** Traits that a request has to have, sorted; empty for a whole request. */
  readonly traits: readonly string[];
  readonly verdict: CrashStatus;
  /** Number of times that the suspicion was cleared. */
  readonly generation: number;
  /** Successive crashes since then. */
  readonly crashes: number;
  /** Number of times that requests were refused since then. */
  readonly blocks: number;
  /** Time for which requests are refused; 0 if they are not. */
  readonly blockedMs: number;
  /** Time until the record expires, in milliseconds. */
  readonly remainingMs: number;
}
