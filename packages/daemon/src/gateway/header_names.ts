/** Names of the headers that a gateway reads and writes, in lower case. */
export interface HeaderNames {
  /** Names one request; upstreams repeat it in their answers. */
  readonly requestId: string;
  /** Time that the caller waits, in milliseconds. */
  readonly timeLimit: string;
  /** Key of a client account. */
  readonly key: string;
  /** Name of the client account, set for upstreams. */
  readonly account: string;
  /** Prompt tokens and most answer tokens, with a comma between them. */
  readonly tokenCounts: string;
  /** Caller's estimate of the answer's tokens. */
  readonly answerEstimate: string;
  /** Id of the last event that the caller holds. */
  readonly lastEventId: string;
  /** Id of the upstream that alone may run the request. */
  readonly expectedUpstream: string;
  /** Rank at the engine, 0 to 9, 0 first. */
  readonly rank: string;
  /** Engines that read parts of the prompt: IP:port or IP:port/reservation. */
  readonly helpers: string;
  /** Present where an upstream did not run the request. */
  readonly notRun: string;
  /** IP:port of the upstream at fault for a refusal. */
  readonly faultyUpstream: string;
}
