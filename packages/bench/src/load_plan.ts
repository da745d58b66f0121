/** What a load generator sends: one request after another in each lane. */
export interface LoadPlan {
  /** URLs of hosts, or of engines, used in turn. */
  readonly urls: readonly string[];
  /** Whether the URLs are of engines. */
  readonly direct: boolean;
  /** Bearer key, for hosts. */
  readonly key: string;
  readonly model: string;
  /** Requests in flight at once. */
  readonly concurrency: number;
  /** Requests in all. */
  readonly requests: number;
  readonly promptTokens: number;
  /** Mean; the answers vary by half of it. */
  readonly answerTokens: number;
  /** Time limit of each request, in milliseconds. */
  readonly limitMs: number;
  /** Share of the prompt's bytes that JSON has to escape. */
  readonly escapedShare: number;
  /** Makes the prompts of one run differ from those of others. */
  readonly seed: number;
}
