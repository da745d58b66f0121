import type {HybridTime} from './hybrid_time.js';

const MAX_COUNTER = 0xffff;
const MAX_AHEAD_MS = 60_000;

/**
 * Hybrid logical clock: follows the wall clock and orders causes before effects
 * over hosts.
 */
export class HybridClock {
  private wallMs = 0;
  private counter = 0;

  /** Gives a time later than all before; it never goes back. */
  tick(wallMs: number): HybridTime {
    if (wallMs > this.wallMs) this.set(wallMs, 0);
    else this.set(this.wallMs, this.counter + 1);
    return {wallMs: this.wallMs, counter: this.counter};
  }

  /**
   * Takes the time that a message carried, so that later ticks come after it.
   *
   * @return False if the sender's clock is too far ahead to be followed.
   */
  observe(remote: HybridTime, wallMs: number): boolean {
    if (remote.wallMs > wallMs + MAX_AHEAD_MS) return false;
    if (remote.wallMs > this.wallMs) this.set(remote.wallMs, remote.counter);
    else if (remote.wallMs === this.wallMs) {
      this.counter = Math.max(this.counter, remote.counter);
    }
    return true;
  }

  private set(wallMs: number, counter: number): void {
    const isFull = counter > MAX_COUNTER;
    this.wallMs = isFull ? wallMs + 1 : wallMs;
    this.counter = isFull ? 0 : counter;
  }
}
