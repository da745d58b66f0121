/** The parts of a request that its crash fingerprint is computed from. */
export interface SuspectSubject {
  /** Distinguishes requests with equal bodies. */
  readonly name: string;
  readonly body: Buffer;
}
