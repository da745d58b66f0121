/** The part of a caller's request that an engine reads. */
export interface PromptRequest {
  readonly model?: string;
  readonly messages?: readonly {
    readonly role: string;
    readonly content?: string | readonly {readonly text?: string}[] | null;
  }[];
  readonly prompt?: string | readonly string[];
  readonly max_tokens?: number | null;
  readonly max_completion_tokens?: number | null;
}
