const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_TOKENS = 10;

/** Limits retries to a fraction of the successes, to prevent retry storms. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param ratio Retries allowed per success.
   * @param maxTokens Maximum number of accumulated retries; also the initial number.
   */
  constructor(
    private readonly ratio = DEFAULT_RATIO,
    private readonly maxTokens = DEFAULT_MAX_TOKENS,
  ) {
    this.tokens = maxTokens;
  }

  /** Adds to the budget for a request that succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
  }

  /** Takes one retry from the budget; returns false when none is left. */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
