/** What is recorded about the requests, or group of traits, of one fingerprint. */
export interface SuspectRecord {
  /** SHA-256 that identifies the requests, in hexadecimal. */
  readonly fingerprint: string;
  /**
   * Length of the body, in bytes; bodies of other lengths need not be hashed.
   */
  readonly bodyBytes: number;
  /**
   * Traits that a request has to have, sorted; empty for a record of requests that
   * are the same as a whole.
   */
  readonly traits: readonly string[];
  /** Number of times that the suspicion was cleared. */
  readonly generation: number;
  /** Successive crashes since then; 0 once it is cleared. */
  readonly crashes: number;
  /** Number of times that requests were refused since then. */
  readonly blocks: number;
  /** Monotonic time until which requests are refused; 0 if they never were. */
  readonly blockedUntilMs: number;
  /** Whether another host has told of the request. */
  readonly isKnownToPeers: boolean;
  /** Monotonic time at which the record expires, in milliseconds. */
  readonly expiresAtMs: number;
  /** Hash of what hosts have to agree on. */
  readonly hash: number;
}
