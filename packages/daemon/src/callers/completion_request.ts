import type {CompletionFormatter} from './completion_formatter.js';

/** A validated completion request. */
export interface CompletionRequest {
  readonly id: string;
  readonly account: string;
  readonly model: string;
  /** Path of the call to the engine. */
  readonly path: string;
  /** The caller's JSON body, unchanged. */
  readonly body: Buffer;
  /** Length of the prompt text in the body. */
  readonly promptBytes: number;
  /** Hashes from `describeScopes`, of the prompt without other fields. */
  readonly scopes: readonly string[];
  /** Hashes of the parts of the prompt that other prompts may share. */
  readonly parts: readonly string[];
  /** Limit on the number of answer tokens. */
  readonly maxTokens: number;
  /** Whether the answer is sent as server-sent events. */
  readonly stream: boolean;
  /** Whether a streamed answer ends with an event that reports the usage. */
  readonly includeUsage: boolean;
  readonly formatter: CompletionFormatter;
}
