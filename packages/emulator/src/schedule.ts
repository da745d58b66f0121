import TinyQueue from 'tinyqueue';

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly act: () => void;
}

/** Virtual time: what happens when, in the order of time and then of planning. */
export class Schedule {
  private readonly queue = new TinyQueue<Entry>(
    [],
    (left, right) => left.atMs - right.atMs || left.order - right.order,
  );
  private planned = 0;
  private time = 0;

  /** Time of what is happening, in milliseconds. */
  get nowMs(): number {
    return this.time;
  }

  /** Plans something for a time from now. */
  after(delayMs: number, act: () => void): void {
    const atMs = this.time + Math.max(0, delayMs);
    this.queue.push({atMs, order: this.planned++, act});
  }

  /** Lets everything happen until nothing is planned. */
  run(): void {
    for (let next = this.queue.pop(); next; next = this.queue.pop()) {
      this.time = next.atMs;
      next.act();
    }
  }
}
