/** An attempt of this host on one engine. */
export interface LocalAttempt {
  readonly startedAtMs: number;
  readonly classIndex: number;
  /** Prompt tokens to prefill, without those expected in the cache. */
  readonly prefillTokens: number;
  /** Prompt and answer tokens that the attempt holds in memory. */
  readonly memoryTokens: number;
  /** Whether the engine had no queued prompt when the attempt started. */
  readonly isEngineIdle: boolean;
  firstTokenAtMs?: number;
  endedAtMs?: number;
}
