import type {Verdict} from './verdict.js';

/** What a host tells its peers of a request that crashed an upstream. */
export interface SuspectNews {
  /** SHA-256 of model and body, in hexadecimal. */
  readonly fingerprint: string;
  /** Bytes of the body. */
  readonly bodyBytes: number;
  readonly verdict: Verdict;
}
