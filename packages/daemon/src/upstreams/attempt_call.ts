/** Parameters of the request that runs one attempt on an engine. */
export interface AttemptCall {
  readonly attempt: string;
  /** IP:port of the engine. */
  readonly address: string;
  readonly path: string;
  /** The caller's JSON body, unchanged. */
  readonly body: Buffer;
  /** Host and incarnation that own the attempt, as `host/incarnation`. */
  readonly owner: string;
  /** Scheduling priority at the engine; 0 is served first. */
  readonly priority: number;
  /** Memory reservation that the attempt uses; undefined when it has none. */
  readonly reservation: string | undefined;
  /** Tokens of the attempt that other engines keep in memory. */
  readonly remoteTokens: number | undefined;
  /** Output position, in tokens, from which the engine continues. */
  readonly resumeFrom: number;
  /** Time after which the engine aborts the attempt, in milliseconds. */
  readonly limitMs: number;
}
