/** A prefix of a prompt that an engine may have in its prefix cache. */
export interface PromptPrefix {
  /** Hash by which the cache events of the engines identify the prefix. */
  readonly hash: string;
  readonly tokens: number;
}
