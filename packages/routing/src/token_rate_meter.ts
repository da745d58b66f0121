const TIME_CONSTANT_MS = 5000;
const MS_PER_SECOND = 1000;

/** Exponentially decaying average of the arrival rate of prompt tokens. */
export class TokenRateMeter {
  private tokens = 0;
  private updatedAtMs = 0;

  add(tokens: number, nowMs: number): void {
    this.decay(nowMs);
    this.tokens += tokens;
  }

  getTokensPerSecond(nowMs: number): number {
    this.decay(nowMs);
    return (this.tokens / TIME_CONSTANT_MS) * MS_PER_SECOND;
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.tokens *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }
}
