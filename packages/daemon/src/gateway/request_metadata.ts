/** What the headers of a caller's request say. */
export interface RequestFacts {
  readonly id: string;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  readonly host: string;
  readonly key: string | undefined;
  /** Time that the caller waits, in milliseconds; absent when not told. */
  readonly timeLimitMs: number | undefined;
  readonly promptTokens: number;
  /** Most tokens of the answer; 0 when not told. */
  readonly maxAnswerTokens: number;
  /** Caller's estimate of the answer's tokens; 0 when not told. */
  readonly answerEstimate: number;
  readonly lastEventId: number | undefined;
}
