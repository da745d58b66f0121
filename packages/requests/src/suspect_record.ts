import type {CrashStatus} from './crash_status.js';

/** What is recorded about the requests with one fingerprint. */
export interface SuspectRecord {
  /** SHA-256 of model and body, in hexadecimal. */
  readonly fingerprint: string;
  /**
   * Length of the body, in bytes; bodies of other lengths need not be hashed.
   */
  readonly bodyBytes: number;
  readonly verdict: CrashStatus.SUSPECT | CrashStatus.BLOCKED;
  /** Monotonic time at which the record expires, in milliseconds. */
  readonly expiresAtMs: number;
}
