/** An attempt that this host has sent to an engine. */
export interface LocalAttempt {
  readonly startedAtMs: number;
  readonly classIndex: number;
  /** Prompt tokens to prefill, without those that are expected to be cached. */
  readonly prefillTokens: number;
  /** KV memory of the attempt: prompt tokens plus maximum answer tokens. */
  readonly memoryTokens: number;
  /**
   * Whether the engine had no queued prompt when the attempt started, so that
   * its time measures the prefill rate.
   */
  readonly isEngineIdle: boolean;
  firstTokenAtMs?: number;
  endedAtMs?: number;
}
