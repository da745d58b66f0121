const DEFAULT_TOKENS_PER_MS = 20;
const MIN_TOKENS_PER_MS = 0.01;
const MAX_TOKENS_PER_MS = 10_000;
/**
 * Time to first token of shorter prefills depends more on the network than on
 * the engine.
 */
const MIN_SAMPLE_TOKENS = 512;
const SMOOTHING_WEIGHT = 0.1;

/** Moving average of the prefill rate of the engines of one model. */
export class PrefillRate {
  private logRate: number;

  constructor(tokensPerMs = DEFAULT_TOKENS_PER_MS) {
    this.logRate = Math.log(tokensPerMs);
  }

  get tokensPerMs(): number {
    return Math.exp(this.logRate);
  }

  /**
   * Adds a sample; the attempt must have started on an engine without queued
   * prompts.
   */
  observe(tokens: number, elapsedMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || !(elapsedMs > 0)) return;
    const sample = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, tokens / elapsedMs),
    );
    this.logRate += SMOOTHING_WEIGHT * (Math.log(sample) - this.logRate);
  }
}
