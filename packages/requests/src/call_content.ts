/** What a caller sent, without what is new with each attempt. */
export interface CallContent {
  readonly method: string;
  /** Path, with a query or without one. */
  readonly target: string;
  /** Name of the client account; empty for anonymous requests. */
  readonly account: string;
  /** Headers that reach the upstream, each as `name: value`. */
  readonly headers: readonly string[];
  /** Text that identifies a prompt sent beside the body; empty if there is none. */
  readonly prompt: string;
  readonly body: Uint8Array | string;
}
