/** Status and headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Headers that pass through, names and values by turns. */
  readonly headers: readonly string[];
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** IP:port of the upstream at fault for a refusal; empty when not told. */
  readonly faultyAddress: string;
}
