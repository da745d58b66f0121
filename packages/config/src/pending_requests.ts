/** How long a value asked of a peer is waited for, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Which values were asked of peers, so that each is asked of one at a time. */
export class PendingRequests {
  private readonly timeoutAtMs = new Map<string, number>();

  /** Keeps those of the keys that may be asked for now and notes them. */
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
