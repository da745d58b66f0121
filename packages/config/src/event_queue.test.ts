/** A virtual clock that runs events in order of time, then of insertion. */
export class EventQueue {
  private readonly heap: {atMs: number; order: number; run: () => void}[] = [];
  private nextOrder = 0;
  nowMs = 0;

  push(atMs: number, run: () => void): void {
    const entry = {
      atMs: Math.max(atMs, this.nowMs),
      order: this.nextOrder++,
      run,
    };
    let index = this.heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  runUntil(endMs: number): void {
    for (let next = this.heap[0]; next && next.atMs <= endMs;) {
      this.nowMs = next.atMs;
      this.removeFirst();
      next.run();
      next = this.heap[0];
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    this.swap(0, this.heap.length - 1);
    this.heap.pop();
    for (let index = 0; ;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      let first = index;
      if (left < this.heap.length && this.isBefore(left, first)) first = left;
      if (right < this.heap.length && this.isBefore(right, first)) {
        first = right;
      }
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(i: number, j: number): boolean {
    const [a, b] = [this.heap[i]!, this.heap[j]!];
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private swap(i: number, j: number): void {
    [this.heap[i], this.heap[j]] = [this.heap[j]!, this.heap[i]!];
  }
}
