import type {Verdict} from './verdict.js';

/** What is held of one fingerprint. */
export interface SuspectRecord {
  /** SHA-256 of model and body, in hexadecimal. */
  readonly fingerprint: string;
  /** Bytes of the body; spares hashing bodies of other lengths. */
  readonly bodyBytes: number;
  readonly verdict: Verdict.SUSPECT | Verdict.CONDEMNED;
  /** Monotonic time at which the record is forgotten. */
  readonly expiresAtMs: number;
}
