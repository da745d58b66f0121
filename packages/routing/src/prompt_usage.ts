/** Prompt size as an engine reports it after a request. */
export interface PromptUsage {
  readonly account: string;
  readonly model: string;
  readonly bytes: number;
  readonly tokens: number;
}
