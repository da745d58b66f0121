/** What a host's memory is used for, as far as callers cause it. */
export enum MemoryKind {
  /** Bodies of requests, until the request has ended. */
  BODY = 'body',
  /** Answers that are passed on whole, until they are complete. */
  ANSWER = 'answer',
  /** What is written to callers and not yet taken by them. */
  UNSENT = 'unsent',
}
