/**
 * An engine that can run part of a spread prompt, which runs on several
 * engines.
 */
export interface SpreadEngine {
  readonly name: string;
  readonly model: string;
  /** KV memory capacity, in tokens. */
  readonly memoryTokens: number;
}
