import type {HybridTime} from './hybrid_time.js';

const MAX_COUNTER = 0xffff;
/** Remote times further ahead than this are not followed. */
const MAX_CLOCK_LEAD_MS = 60_000;

/**
 * Hybrid logical clock: follows the wall clock and orders causes before their
 * effects across hosts.
 */
export class HybridClock {
  private wallMs = 0;
  private counter = 0;

  /**
   * Returns a time later than every earlier one, even if the wall clock goes
   * back.
   */
  tick(wallMs: number): HybridTime {
    if (wallMs > this.wallMs) this.set(wallMs, 0);
    else this.set(this.wallMs, this.counter + 1);
    return {wallMs: this.wallMs, counter: this.counter};
  }

  /**
   * Merges the time carried by a received message, so that later ticks come
   * after it.
   *
   * @return False if the sender's clock is more than 60 s ahead; the time is
   *     then ignored.
   */
  observe(remote: HybridTime, wallMs: number): boolean {
    if (remote.wallMs > wallMs + MAX_CLOCK_LEAD_MS) return false;
    if (remote.wallMs > this.wallMs) this.set(remote.wallMs, remote.counter);
    else if (remote.wallMs === this.wallMs) {
      this.counter = Math.max(this.counter, remote.counter);
    }
    return true;
  }

  private set(wallMs: number, counter: number): void {
    const isOverflow = counter > MAX_COUNTER;
    this.wallMs = isOverflow ? wallMs + 1 : wallMs;
    this.counter = isOverflow ? 0 : counter;
  }
}
