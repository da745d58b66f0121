/** What a caller sent, without what is new with each attempt. */
export interface CallContent {
  readonly method: string;
  /** Path, with a query or without one. */
  readonly target: string;
  /** Name of the client account; empty for anonymous requests. */
  readonly account: string;
  readonly body: Uint8Array | string;
}
