/** A prefix of a prompt that an engine may hold in its cache. */
export interface PromptPrefix {
  /** Name of the prefix in the engines' cache events. */
  readonly hash: string;
  readonly tokens: number;
}
