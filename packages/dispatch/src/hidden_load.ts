/** Load of an engine that no known placement explains. */
export interface HiddenLoad {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  /** KV cache in use by it, in tokens. */
  readonly memoryTokens: number;
}
