import type {Clock} from '../../host/clock.js';

/**
 * Finds out that this process did not run for a while: a timer comes late, or the wall
 * clock went on while the monotonic one, which may stand still in a machine that is
 * suspended, did not.
 */
export class HoldDetector {
  private tickedAtMs = 0;
  private tickedAtWallMs = 0;

  /** @param intervalMs Time between two ticks of the timer. */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly minHoldMs: number,
  ) {
    this.restart();
  }

  /** Records that the timer has ticked. */
  restart(): void {
    this.tickedAtMs = this.clock.nowMs();
    this.tickedAtWallMs = this.clock.wallMs();
  }

  /**
   * Returns for how long the process did not run since the last tick, in milliseconds;
   * 0 if for less than the minimum. After a hold, requests may be read before timers.
   */
  readHoldMs(): number {
    const elapsedMs = this.clock.nowMs() - this.tickedAtMs;
    const wallMs = this.clock.wallMs() - this.tickedAtWallMs;
    // A wall clock that is set forward is not told from a suspension.
    const jumpMs = wallMs - elapsedMs;
    const heldMs = Math.max(elapsedMs - this.intervalMs, jumpMs);
    return heldMs > this.minHoldMs ? heldMs : 0;
  }
}
