/** Longest wait of a start for peers to become known, in milliseconds. */
const MEMBERS_WAIT_MS = 1_500;
/** Longest wait for the answers of peers that were asked, in milliseconds. */
const ASK_WAIT_MS = 1_000;
/** Longest wait of a start in all, in milliseconds. */
const START_MAX_MS = 3_000;

/**
 * Holds a starting host back until its peers have told the highest revisions
 * they hold, for a bounded time.
 */
export class StartGate {
  private startedMs = -1;
  private deadlineMs = Infinity;
  private open = false;
  private isOverdue = false;
  private readonly asked = new Set<string>();
  private readonly answered = new Set<string>();

  begin(nowMs: number): void {
    this.startedMs = nowMs;
    this.deadlineMs = nowMs + MEMBERS_WAIT_MS;
  }

  hasBegun(): boolean {
    return this.startedMs >= 0;
  }

  isOpen(): boolean {
    return this.open;
  }

  countAsked(): number {
    return this.asked.size;
  }

  /** Time of the next try to open; Infinity once open. */
  wakeAtMs(): number {
    if (this.open) return Infinity;
    return this.isOverdue ? this.latestMs() : this.deadlineMs;
  }

  /** Notes that a peer is asked; the first ones put the deadline off. */
  ask(host: string, nowMs: number): void {
    if (this.asked.size === 0) {
      this.deadlineMs = Math.min(this.latestMs(), nowMs + ASK_WAIT_MS);
    }
    this.asked.add(host);
  }

  wasAsked(host: string): boolean {
    return this.asked.has(host);
  }

  /** Notes the answer of a peer that is itself past its start. */
  answer(host: string): void {
    this.answered.add(host);
  }

  /**
   * Opens when all who were asked answered, or in time, and when the values
   * that they told of have come; at the latest after the longest wait.
   *
   * @return Whether it opened just now.
   */
  tryOpen(nowMs: number, valuesPending: boolean): boolean {
    if (this.open) return false;
    const heard =
      this.asked.size > 0 &&
      [...this.asked].every(host => this.answered.has(host));
    this.isOverdue = nowMs >= this.deadlineMs;
    const ready = !valuesPending && (heard || this.isOverdue);
    if (!ready && nowMs < this.latestMs()) return false;
    this.open = true;
    return true;
  }

  private latestMs(): number {
    return this.startedMs + START_MAX_MS;
  }
}
