/** What a request is recognised by once it has crashed an upstream. */
export interface SuspectSubject {
  /** Distinguishes requests with equal bodies. */
  readonly name: string;
  readonly body: Buffer;
  /** Ids of the parts of the prompt that other prompts may share. */
  readonly parts: readonly string[];
}
