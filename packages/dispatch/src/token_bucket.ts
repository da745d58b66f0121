const MS_PER_SECOND = 1_000;

/** A token bucket on the caller's clock. It starts empty unless told otherwise. */
export class TokenBucket {
  /**
   * @param perSecond Tokens gained in a second.
   * @param capacity Maximum number of tokens.
   * @param tokens Initial number of tokens.
   */
  constructor(
    private perSecond: number,
    private capacity: number,
    private refilledAtMs: number,
    private tokens = 0,
  ) {}

  /** Tokens gained in a second. */
  get rate(): number {
    return this.perSecond;
  }

  copy(): TokenBucket {
    const {perSecond, capacity, refilledAtMs, tokens} = this;
    return new TokenBucket(perSecond, capacity, refilledAtMs, tokens);
  }

  /** Changes the rate from now on. */
  setRate(perSecond: number, capacity: number, nowMs: number): void {
    this.read(nowMs);
    this.perSecond = perSecond;
    this.capacity = capacity;
  }

  /** Returns the number of tokens, which may be below 0 or a fraction. */
  read(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const gained = (elapsedMs / MS_PER_SECOND) * this.perSecond;
    this.tokens = Math.min(this.capacity, this.tokens + gained);
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
    return this.tokens;
  }

  /** Takes one token, also where there is none. */
  take(nowMs: number): void {
    this.tokens = this.read(nowMs) - 1;
  }

  /** Time until the bucket has a number of tokens, in milliseconds; below 0 if it has more. */
  getWaitMs(tokens: number, nowMs: number): number {
    return ((tokens - this.read(nowMs)) / this.perSecond) * MS_PER_SECOND;
  }
}
