/** An engine picked for one attempt. */
export interface EnginePick {
  readonly upstream: string;
  /** 0 is served first. */
  readonly priority: number;
  /** Prompt tokens expected in the engine's cache. */
  readonly cachedTokens: number;
  /** Whether the attempt runs as the only suspect on the engine. */
  readonly isIsolated?: boolean;
  /** Reservation at the engine that the attempt uses. */
  readonly reservation?: string;
  /** Tokens of the attempt that other engines hold under the reservation. */
  readonly remoteTokens?: number;
}
