import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 60_000;
/** Part of the time by which each answer is moved at random. */
const JITTER = 0.25;

/** Spreads the return of refused callers over the time that the backlog takes. */
export class ReturnPacer {
  private slotMs = -Infinity;

  /** @param random Seeded generator of the host. */
  constructor(private readonly random: RandomGenerator) {}

  /**
   * When one refused request should come back, in milliseconds from now.
   *
   * @param waitMs Expected time until the present queue is served.
   * @param serveMs Expected time that one more request takes of it.
   */
  retryAfterMs(waitMs: number, serveMs: number, nowMs: number): number {
    this.slotMs = Math.max(this.slotMs, nowMs + waitMs) + serveMs;
    this.slotMs = Math.min(this.slotMs, nowMs + MAX_RETRY_MS);
    const aheadMs = Math.max(MIN_RETRY_MS, this.slotMs - nowMs);
    const low = aheadMs >= MAX_RETRY_MS ? 1 / 2 : 1 - JITTER;
    const high = aheadMs >= MAX_RETRY_MS ? 1 : 1 + JITTER;
    const factor = low + (high - low) * uniformFloat64(this.random);
    return Math.ceil(aheadMs * factor);
  }
}
