import type {CallCounts} from './call_counts.js';

const SECOND_MS = 1000;

/** Counts reads and refuses those over the rate. */
export class CallCounter {
  private reads = 0;
  private watches = 0;
  private refused = 0;
  private maxPerSecond = 0;
  private second = 0;
  private inSecond = 0;
  private readonly byKey = new Map<string, number>();

  constructor(private readonly readsPerSecond: number) {}

  /** Counts a read; false when it is over the rate. */
  count(key: string, watch: boolean, nowMs: number): boolean {
    const second = Math.floor(nowMs / SECOND_MS);
    if (second !== this.second) this.inSecond = 0;
    this.second = second;
    this.inSecond++;
    this.reads++;
    if (watch) this.watches++;
    this.byKey.set(key, (this.byKey.get(key) ?? 0) + 1);
    this.maxPerSecond = Math.max(this.maxPerSecond, this.inSecond);
    const allowed = this.inSecond <= this.readsPerSecond;
    if (!allowed) this.refused++;
    return allowed;
  }

  /** Reads the counts. */
  read(): CallCounts {
    const {reads, watches, refused, maxPerSecond} = this;
    const byKey = Object.fromEntries(this.byKey);
    return {reads, watches, refused, maxPerSecond, byKey};
  }
}
