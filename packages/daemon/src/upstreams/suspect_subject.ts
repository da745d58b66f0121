/** The parts of a request that its crash fingerprint is computed from. */
export interface SuspectSubject {
  /** Model, or another name that distinguishes requests with equal bodies. */
  readonly model: string;
  readonly body: Buffer;
}
