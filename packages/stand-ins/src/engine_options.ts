/** Rates, sizes and delays of a model engine. */
export interface EngineOptions {
  /** KV memory for streams, cache, reservations and exports, in tokens. */
  readonly memoryTokens: number;
  /** Prompt tokens a second, shared by the running batch. */
  readonly prefillTokensPerSecond: number;
  /** Answer tokens a second, shared by the running batch. */
  readonly decodeTokensPerSecond: number;
  /** Most prompt tokens that one step of the batch computes. */
  readonly chunkTokens: number;
  /** Tokens of one block of the prefix cache. */
  readonly blockTokens: number;
  /** Fixed time of one step, in milliseconds. */
  readonly stepOverheadMs: number;
  /** Most streams in the running batch. */
  readonly maxRunning: number;
  /** Most streams waiting for the batch; more are refused. */
  readonly maxWaiting: number;
  /** Time between two load reports, in milliseconds. */
  readonly loadIntervalMs: number;
  /** Delay before a cache event can be read, in milliseconds. */
  readonly cacheEventDelayMs: number;
  /** One cache event out of this many is lost. */
  readonly cacheEventLossInterval: number;
  /** Cache events kept for readers. */
  readonly cacheEventsKept: number;
  /** Time to load a model from the weight store, in milliseconds. */
  readonly loadModelMs: number;
  /** Time to load an adapter from the weight store, in milliseconds. */
  readonly loadAdapterMs: number;
}
