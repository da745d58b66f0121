import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawBelow} from './draw_below.js';

/** Longest wait of one watch at the service, in milliseconds. */
const WATCH_WAIT_MAX_MS = 3_000;
/** How long past its wait a call may take, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;
/** Least time from one call to the next on one key, in milliseconds. */
const CALL_INTERVAL_MS = 1_000;
const WATCHER_BACKOFF_MAX_MS = 4_000;
const READER_BACKOFF_MAX_MS = 8_000;
/** A host that does not watch reads when no one confirmed for this long. */
const STALE_AFTER_MS = 7_000;
const STALE_JITTER_MS = 1_500;
const TAKEOVER_JITTER_MS = 500;

/** When one host calls the service about one key, and how. */
export class KeySchedule {
  private isWatcher = false;
  private timeoutAtMs = Infinity;
  private nextCallMinMs = 0;
  private staleAtMs = Infinity;
  private confirmedAtMs = -Infinity;
  private lastCallAtMs = -Infinity;
  private failures = 0;

  constructor(private readonly random: RandomGenerator) {}

  /** Sets the time until which a starting host waits for its peers' word. */
  start(staleAtMs: number): void {
    this.staleAtMs = staleAtMs;
  }

  setWatcher(isWatcher: boolean, nowMs: number): void {
    if (isWatcher && !this.isWatcher) {
      const earliestMs = nowMs + drawBelow(this.random, TAKEOVER_JITTER_MS);
      this.nextCallMinMs = Math.max(this.nextCallMinMs, earliestMs);
    }
    this.isWatcher = isWatcher;
  }

  /** Notes that the service confirmed the latest revision at a time. */
  recordConfirmation(atMs: number): void {
    if (atMs <= this.confirmedAtMs) return;
    this.confirmedAtMs = atMs;
    this.scheduleStaleRead(atMs);
  }

  /** Time since the last confirmation, in milliseconds. */
  confirmedAgeMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /** Ends the call in flight. */
  recordSuccess(): void {
    this.timeoutAtMs = Infinity;
    this.failures = 0;
    this.nextCallMinMs = this.lastCallAtMs + CALL_INTERVAL_MS;
  }

  /** Ends the call in flight and puts the next one off. */
  recordFailure(nowMs: number): void {
    this.timeoutAtMs = Infinity;
    this.failures++;
    const maxBackoffMs = this.isWatcher
      ? WATCHER_BACKOFF_MAX_MS
      : READER_BACKOFF_MAX_MS;
    const backoffMs = Math.min(
      maxBackoffMs,
      CALL_INTERVAL_MS * 2 ** this.failures,
    );
    this.nextCallMinMs =
      nowMs + backoffMs / 2 + drawBelow(this.random, backoffMs / 2);
  }

  dueAtMs(): number {
    if (this.timeoutAtMs !== Infinity) return this.timeoutAtMs;
    if (this.isWatcher) return this.nextCallMinMs;
    return Math.max(this.staleAtMs, this.nextCallMinMs);
  }

  /**
   * Takes the call that is due.
   *
   * @return The wait of a watch in milliseconds, 0 for a read; undefined when
   *     no call is due.
   */
  startDueCall(nowMs: number): number | undefined {
    if (this.timeoutAtMs <= nowMs) this.recordFailure(nowMs);
    if (this.timeoutAtMs !== Infinity || this.dueAtMs() > nowMs) {
      return undefined;
    }
    const waitMs = this.isWatcher ? WATCH_WAIT_MAX_MS : 0;
    this.startCall(nowMs, waitMs);
    return waitMs;
  }

  /** Notes a call made outside this plan. */
  startCall(nowMs: number, waitMs: number): void {
    this.lastCallAtMs = nowMs;
    this.timeoutAtMs = nowMs + waitMs + CALL_TIMEOUT_MS;
  }

  private scheduleStaleRead(fromMs: number): void {
    this.staleAtMs =
      fromMs + STALE_AFTER_MS + drawBelow(this.random, STALE_JITTER_MS);
  }
}
