/** Longest wait of a start for peers to become known, in milliseconds. */
const MEMBERS_WAIT_MS = 1_500;
/** Longest wait for the answers of peers that were asked, in milliseconds. */
const ANSWERS_WAIT_MS = 1_000;
/** Longest wait of a start in all, in milliseconds. */
const START_WAIT_MAX_MS = 3_000;

/**
 * Holds a starting host back until its peers have told the highest revisions
 * they hold, for a bounded time.
 */
export class StartGate {
  private startedAtMs = -1;
  private waitUntilMs = Infinity;
  private open = false;
  private isWaitOver = false;
  private readonly asked = new Set<string>();
  private readonly answered = new Set<string>();

  start(nowMs: number): void {
    this.startedAtMs = nowMs;
    this.waitUntilMs = nowMs + MEMBERS_WAIT_MS;
  }

  hasStarted(): boolean {
    return this.startedAtMs >= 0;
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
    return this.isWaitOver ? this.deadlineMs() : this.waitUntilMs;
  }

  /** Notes that a peer is asked; the first ones put the deadline off. */
  recordRequest(host: string, nowMs: number): void {
    if (this.asked.size === 0) {
      this.waitUntilMs = Math.min(this.deadlineMs(), nowMs + ANSWERS_WAIT_MS);
    }
    this.asked.add(host);
  }

  wasAsked(host: string): boolean {
    return this.asked.has(host);
  }

  /** Notes the answer of a peer that is itself past its start. */
  recordAnswer(host: string): void {
    this.answered.add(host);
  }

  /**
   * Opens when all who were asked answered, or in time, and when the values
   * that they told of have come; at the latest after the longest wait.
   *
   * @return Whether it opened just now.
   */
  tryOpen(nowMs: number, hasPendingValues: boolean): boolean {
    if (this.open) return false;
    const allAnswered =
      this.asked.size > 0 &&
      [...this.asked].every(host => this.answered.has(host));
    this.isWaitOver = nowMs >= this.waitUntilMs;
    const isReady = !hasPendingValues && (allAnswered || this.isWaitOver);
    if (!isReady && nowMs < this.deadlineMs()) return false;
    this.open = true;
    return true;
  }

  private deadlineMs(): number {
    return this.startedAtMs + START_WAIT_MAX_MS;
  }
}
