/** What an engine is expected to be doing. */
export interface EngineForecast {
  /** Id of the upstream. */
  readonly upstream: string;
  /** Requests whose answer is being written. */
  readonly writers: number;
  /** Tokens of all prompts and answers being written. */
  readonly contextTokens: number;
  /** Requests that hold a slot or will. */
  readonly slotsTaken: number;
  /** Tokens of memory that are taken or will be. */
  readonly memoryTaken: number;
  /** Time until everything placed there is read, in milliseconds. */
  readonly backlogMs: number;
  /** Prompts that are waiting or being read. */
  readonly readers: number;
  /** How much slower than its kind the engine is; 1 for not. */
  readonly slowness: number;
}
