/** Longest wait for the first peers to become known. */
const MEMBERS_WAIT_MS = 1_500;
/** Longest wait for the answers of the peers that were asked. */
const ANSWERS_WAIT_MS = 1_000;
/** Longest wait in total. */
const START_WAIT_MAX_MS = 3_000;

/**
 * Delays a starting host, for a bounded time, until its peers have reported the
 * highest revisions they hold. Without it the host could start on an older
 * configuration than its peers have.
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

  /** Time of the next attempt to open; Infinity once open. */
  wakeAtMs(): number {
    if (this.open) return Infinity;
    return this.isWaitOver ? this.deadlineMs() : this.waitUntilMs;
  }

  /**
   * Records that a peer was asked; the first request starts the answer wait.
   */
  recordRequest(host: string, nowMs: number): void {
    if (this.asked.size === 0) {
      this.waitUntilMs = Math.min(this.deadlineMs(), nowMs + ANSWERS_WAIT_MS);
    }
    this.asked.add(host);
  }

  wasAsked(host: string): boolean {
    return this.asked.has(host);
  }

  /** Records the answer of a peer that is not itself starting. */
  recordAnswer(host: string): void {
    this.answered.add(host);
  }

  /**
   * Opens once no requested value is pending and either all asked peers
   * answered or the wait for them is over. After the longest wait it opens in
   * any case.
   *
   * @return Whether this call opened it.
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
