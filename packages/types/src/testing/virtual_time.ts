/**
 * Event queue on virtual time: runs tasks in the order of their times, and tasks
 * with equal times in the order in which they were scheduled.
 */
export class VirtualTime {
  /** Current virtual time, in milliseconds. */
  nowMs = 0;
  private readonly queue: {atMs: number; run: () => void}[] = [];

  /** Schedules a task at an absolute virtual time. */
  at(atMs: number, run: () => void): void {
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.queue[middle]?.atMs ?? 0) <= atMs) low = middle + 1;
      else high = middle;
    }
    this.queue.splice(low, 0, {atMs, run});
  }

  /** Schedules a task after a delay; a negative delay counts as 0. */
  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + Math.max(0, delayMs), run);
  }

  /** Runs all tasks, including those that are scheduled meanwhile. */
  runAll(): void {
    for (let next = this.queue.shift(); next; next = this.queue.shift()) {
      this.nowMs = next.atMs;
      next.run();
    }
  }

  /** Moves the time forward and runs the tasks that fall due. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.queue[0];
      if (!next || next.atMs > endMs) break;
      this.queue.shift();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }
}
