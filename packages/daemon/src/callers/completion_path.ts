/** Paths of the completion calls, the same for callers and at engines. */
export enum CompletionPath {
  CHAT = '/v1/chat/completions',
  TEXT = '/v1/completions',
}
