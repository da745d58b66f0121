/** How long a value asked of a peer is waited for, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Which values were asked of peers, so that each is asked of one at a time. */
export class PendingValues {
  private readonly untilMs = new Map<string, number>();

  /** Keeps those of the keys that may be asked for now and notes them. */
  take(keys: readonly string[], nowMs: number): string[] {
    const free = keys.filter(key => (this.untilMs.get(key) ?? 0) <= nowMs);
    for (const key of free) {
      this.untilMs.set(key, nowMs + REQUEST_TIMEOUT_MS);
    }
    return free;
  }

  settle(key: string): void {
    this.untilMs.delete(key);
  }

  isEmpty(nowMs: number): boolean {
    return [...this.untilMs.values()].every(until => until <= nowMs);
  }
}
