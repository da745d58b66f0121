/** Load that an engine reports of itself; some hundred milliseconds old. */
export interface EngineLoad {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  /** KV cache in use, in tokens. */
  readonly usedMemoryTokens: number;
}
