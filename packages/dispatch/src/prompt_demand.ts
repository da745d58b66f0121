/** Size and time limits of a request, as input for choosing engines. */
export interface PromptDemand {
  readonly promptTokens: number;
  /** Estimated length of the answer, in tokens. */
  readonly answerTokens: number;
  /** Time left to the objective for the next event, in milliseconds; may be negative. */
  readonly objectiveMs: number;
  /** Time until the caller gives up waiting for it, in milliseconds. */
  readonly callerTimeoutMs: number;
}
