/** Paths of the completion calls. */
export enum CompletionPath {
  CHAT = '/v1/chat/completions',
  TEXT = '/v1/completions',
}
