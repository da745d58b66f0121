/** The engine selected for one attempt, and how to run the attempt there. */
export interface EnginePick {
  readonly upstream: string;
  /** Scheduling priority at the engine; 0 is served first. */
  readonly priority: number;
  /** Prompt tokens expected in the engine's KV cache. */
  readonly cachedTokens: number;
  /** Whether the attempt runs as the only crash suspect on the engine. */
  readonly isIsolated?: boolean;
  /** Memory reservation that the attempt uses; absent for a single engine. */
  readonly reservation?: string;
  /** Tokens of the attempt that other engines keep under the reservation. */
  readonly remoteTokens?: number;
}
