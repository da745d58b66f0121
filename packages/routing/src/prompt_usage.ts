/** Size of a prompt in bytes, and in tokens as the engine counted them. */
export interface PromptUsage {
  readonly account: string;
  readonly model: string;
  readonly bytes: number;
  readonly tokens: number;
}
