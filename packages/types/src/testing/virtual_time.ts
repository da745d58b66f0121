/** Runs tasks in the order of their virtual times. */
export class VirtualTime {
  nowMs = 0;
  private readonly queue: {atMs: number; run: () => void}[] = [];

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

  /** Plans a task for a time from now. */
  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + Math.max(0, delayMs), run);
  }

  /** Runs all tasks, and those that they plan. */
  runAll(): void {
    for (let next = this.queue.shift(); next; next = this.queue.shift()) {
      this.nowMs = next.atMs;
      next.run();
    }
  }

  advance(ms: number): void {
    const endMs = this.nowMs + ms;
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
