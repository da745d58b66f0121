/** After this time a value may be requested from another peer. */
const REQUEST_TIMEOUT_MS = 2_000;

/**
 * Open requests for values; each value is requested from one peer at a time.
 */
export class PendingRequests {
  private readonly timeoutAtMs = new Map<string, number>();

  /**
   * Marks keys without an open request as requested, and returns these keys.
   */
  startRequests(keys: readonly string[], nowMs: number): string[] {
    const requestable = keys.filter(
      key => (this.timeoutAtMs.get(key) ?? 0) <= nowMs,
    );
    for (const key of requestable) {
      this.timeoutAtMs.set(key, nowMs + REQUEST_TIMEOUT_MS);
    }
    return requestable;
  }

  remove(key: string): void {
    this.timeoutAtMs.delete(key);
  }

  isEmpty(nowMs: number): boolean {
    return [...this.timeoutAtMs.values()].every(
      timeoutMs => timeoutMs <= nowMs,
    );
  }
}
