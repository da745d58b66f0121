/** Request line and decoded headers of a caller's request. */
export interface RequestMetadata {
  readonly id: string;
  readonly method: string;
  /** Path with query string, as the caller sent it. */
  readonly target: string;
  readonly host: string;
  readonly accountKey: string | undefined;
  /** The caller's timeout in milliseconds; undefined when not stated. */
  readonly timeLimitMs: number | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens of the answer; 0 when not stated. */
  readonly maxAnswerTokens: number;
  /** Caller's estimate of the answer's tokens; 0 when not stated. */
  readonly estimatedAnswerTokens: number;
  /** Ids of the parts of the prompt that other prompts may share. */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller has, as it came: an opaque text. */
  readonly lastEventId: string | undefined;
}
