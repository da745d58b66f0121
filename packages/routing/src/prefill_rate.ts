const DEFAULT_TOKENS_PER_MS = 20;
const MIN_TOKENS_PER_MS = 0.01;
const MAX_TOKENS_PER_MS = 10_000;
/** Shorter prefills measure the network rather than the engine. */
const MIN_SAMPLE_TOKENS = 512;
const SMOOTHING_WEIGHT = 0.1;

/** Prefill rate of the engines of one model, learned from undisturbed attempts. */
export class PrefillRate {
  private logRate: number;

  constructor(tokensPerMs = DEFAULT_TOKENS_PER_MS) {
    this.logRate = Math.log(tokensPerMs);
  }

  get tokensPerMs(): number {
    return Math.exp(this.logRate);
  }

  /** Takes an attempt that found its engine without queued prompts. */
  observe(tokens: number, elapsedMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || !(elapsedMs > 0)) return;
    const sample = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, tokens / elapsedMs),
    );
    this.logRate += SMOOTHING_WEIGHT * (Math.log(sample) - this.logRate);
  }
}
