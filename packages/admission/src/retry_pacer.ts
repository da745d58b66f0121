import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 60_000;
/** Maximum random deviation of a retry time, as a fraction of it. */
const JITTER_FRACTION = 0.25;

/** Spreads the retries of refused callers over the time needed to serve the backlog. */
export class RetryPacer {
  /** Time assigned to the last refused caller, before jitter. */
  private lastRetryAtMs = -Infinity;

  /** @param random Seeded generator of the host. */
  constructor(private readonly random: RandomGenerator) {}

  /**
   * Assigns the next retry time to a refused request.
   *
   * @param waitMs Expected time until the current queue is served.
   * @param intervalMs Time between the retries of two refused requests.
   * @return Milliseconds from now, with jitter.
   */
  scheduleRetry(waitMs: number, intervalMs: number, nowMs: number): number {
    this.lastRetryAtMs =
      Math.max(this.lastRetryAtMs, nowMs + waitMs) + intervalMs;
    this.lastRetryAtMs = Math.min(
      this.lastRetryAtMs,
      nowMs + MAX_RETRY_AFTER_MS,
    );
    const delayMs = Math.max(MIN_RETRY_AFTER_MS, this.lastRetryAtMs - nowMs);
    const low = delayMs >= MAX_RETRY_AFTER_MS ? 1 / 2 : 1 - JITTER_FRACTION;
    const high = delayMs >= MAX_RETRY_AFTER_MS ? 1 : 1 + JITTER_FRACTION;
    const factor = low + (high - low) * uniformFloat64(this.random);
    return Math.ceil(delayMs * factor);
  }
}
