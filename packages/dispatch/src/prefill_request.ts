/** A request that waits for prefill or is being prefilled at an engine. */
export interface PrefillRequest {
  /** Weight from `weighRequest`, in tokens. */
  readonly weight: number;
  /** Time left to its latency objective, in milliseconds; negative when missed. */
  readonly objectiveMs: number;
}
