/** Names of the headers that a gateway reads and writes, in lower case. */
export interface HeaderNames {
  /** Id of a request; upstreams echo it in their responses. */
  readonly requestId: string;
  /** The caller's timeout in milliseconds. */
  readonly timeLimit: string;
  /** API key of a client account. */
  readonly key: string;
  /** Name of the client account, set for upstreams. */
  readonly account: string;
  /** Prompt tokens and maximum of answer tokens, separated by a comma. */
  readonly tokenCounts: string;
  /** Caller's estimate of the number of tokens of the answer. */
  readonly answerEstimate: string;
  /** Parts of the prompt in order, separated by commas: ID:TOKENS. */
  readonly promptParts: string;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: string;
  /** Id of the only upstream that may execute the request. */
  readonly expectedUpstream: string;
  /** What the caller itself expects of the upstream; passed on as it is. */
  readonly callersExpectation: string;
  /** Scheduling rank at the engine, 0 to 9; 0 is served first. */
  readonly rank: string;
  /** Engines that prefill parts of the prompt: IP:port or IP:port/reservation. */
  readonly helpers: string;
  /** Present in a response when the upstream did not execute the request. */
  readonly notRun: string;
  /** IP:port of the upstream that caused a refusal. */
  readonly faultyUpstream: string;
  /** Requests a second that the upstream takes from all hosts together. */
  readonly rateLimit: string;
  /** `1` in all responses of an upstream that is about to stop. */
  readonly leaving: string;
}
