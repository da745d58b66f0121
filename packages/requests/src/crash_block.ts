/** Why requests are refused, and for how long. */
export interface CrashBlock {
  /** SHA-256 that identifies what is refused, in hexadecimal. */
  readonly fingerprint: string;
  /** Traits that a request has to have, sorted; empty for a whole request. */
  readonly traits: readonly string[];
  /** Crashes that it is held for. */
  readonly crashes: number;
  /** Time until requests are tried again, in milliseconds. */
  readonly remainingMs: number;
  /** Whether it holds until all is forgotten; else one request is tried soon. */
  readonly isFinal: boolean;
}
