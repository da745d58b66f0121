import type {SuspectState} from './suspect_state.js';

/** Crash of an upstream while an attempt of a request ran on it. */
export interface CrashReport {
  /** SHA-256 that identifies the request, in hexadecimal. */
  readonly fingerprint: string;
  /** Length of the body, in bytes. */
  readonly bodyBytes: number;
  /** What was known when the attempt started. */
  readonly stateBefore: SuspectState;
  /** Whether the attempt ran as a suspect without other suspects beside it. */
  readonly wasIsolated: boolean;
  /** Whether a lease of the upstream kept other suspects away. */
  readonly hadLease: boolean;
}
