import type {CrashStatus} from './crash_status.js';

/** Message to the peers about a request that crashed an upstream. */
export interface SuspectUpdate {
  /** SHA-256 of model and body, in hexadecimal. */
  readonly fingerprint: string;
  /** Length of the body, in bytes. */
  readonly bodyBytes: number;
  readonly verdict: CrashStatus;
}
