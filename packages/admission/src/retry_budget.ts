const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_TOKENS = 10;

/** Allows retries as a part of the successes, so that failures bring no storm. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param ratio Retries earned by one success.
   * @param maxTokens Most retries saved up; also those allowed at first.
   */
  constructor(
    private readonly ratio = DEFAULT_RATIO,
    private readonly maxTokens = DEFAULT_MAX_TOKENS,
  ) {
    this.tokens = maxTokens;
  }

  /** Counts a request that succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
  }

  /** Takes one retry out of the budget; false when none is left. */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
