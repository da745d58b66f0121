import type {CompletionFormatter} from './completion_formatter.js';

/** A completion request after its checks. */
export interface CompletionRequest {
  readonly id: string;
  readonly account: string;
  readonly model: string;
  /** Path at the engine. */
  readonly path: string;
  /** The caller's JSON body, unchanged. */
  readonly body: Buffer;
  /** Bytes of prompt text in the body. */
  readonly promptBytes: number;
  /** Most tokens of the answer. */
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly formatter: CompletionFormatter;
}
