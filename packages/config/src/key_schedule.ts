import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawBelow} from './draw_below.js';

/** Longest time that one watch (a long poll) waits at the service. */
const WATCH_WAIT_MAX_MS = 3_000;
/** A call times out this long after the end of its wait. */
const CALL_TIMEOUT_MS = 2_000;
/** Least time between the starts of two calls for the same key. */
const CALL_INTERVAL_MS = 1_000;
const WATCHER_BACKOFF_MAX_MS = 4_000;
/** Longest backoff of hosts that are not watchers. */
const READER_BACKOFF_MAX_MS = 8_000;
/** A host that is not a watcher reads a key unconfirmed for this long. */
const STALE_AFTER_MS = 7_000;
/** Largest random addition to that time. */
const STALE_JITTER_MS = 1_500;
/** A new watcher delays its first call by a random time up to this. */
const TAKEOVER_JITTER_MS = 500;

/**
 * Schedules the calls of one host to the configuration service for one key. A
 * watcher long-polls; other hosts read only when confirmations stop coming.
 */
export class KeySchedule {
  private isWatcher = false;
  private timeoutAtMs = Infinity;
  private nextCallMinMs = 0;
  private staleAtMs = Infinity;
  private confirmedAtMs = -Infinity;
  private lastCallAtMs = -Infinity;
  private failures = 0;

  constructor(private readonly random: RandomGenerator) {}

  /**
   * Sets how long a starting host waits for its peers' values before it reads.
   */
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

  /** Records that the service confirmed the latest revision at `atMs`. */
  recordConfirmation(atMs: number): void {
    if (atMs <= this.confirmedAtMs) return;
    this.confirmedAtMs = atMs;
    this.scheduleStaleRead(atMs);
  }

  /** Milliseconds since the last confirmation; Infinity when there was none. */
  confirmedAgeMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /** Records the success of the call in flight and resets the backoff. */
  recordSuccess(): void {
    this.timeoutAtMs = Infinity;
    this.failures = 0;
    this.nextCallMinMs = this.lastCallAtMs + CALL_INTERVAL_MS;
  }

  /** Records the failure of the call in flight and delays the next one. */
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
   * Starts the call that is due. A call past its time-out counts as failed.
   *
   * @return How long a watch waits in milliseconds, 0 for a read; undefined
   *     when no call is due.
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

  /** Records the start of a call and sets its time-out. */
  startCall(nowMs: number, waitMs: number): void {
    this.lastCallAtMs = nowMs;
    this.timeoutAtMs = nowMs + waitMs + CALL_TIMEOUT_MS;
  }

  private scheduleStaleRead(fromMs: number): void {
    this.staleAtMs =
      fromMs + STALE_AFTER_MS + drawBelow(this.random, STALE_JITTER_MS);
  }
}
