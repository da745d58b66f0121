import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawBelow} from './draw_below.js';

/** Longest wait of one watch at the service, in milliseconds. */
const WATCH_WAIT_MS = 3_000;
/** How long past its wait a call may take, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;
/** Least time from one call to the next on one key, in milliseconds. */
const CALL_INTERVAL_MS = 1_000;
const WATCHER_BACKOFF_MAX_MS = 4_000;
const READER_BACKOFF_MAX_MS = 8_000;
/** A host that does not watch reads when no one confirmed for this long. */
const STALE_AFTER_MS = 7_000;
const STALE_SPREAD_MS = 1_500;
const TAKEOVER_SPREAD_MS = 500;

/** When one host calls the service about one key, and how. */
export class ServiceCall {
  private watcher = false;
  private answerDueMs = Infinity;
  private notBeforeMs = 0;
  private staleAtMs = Infinity;
  private confirmedMs = -Infinity;
  private lastCallMs = -Infinity;
  private failures = 0;

  constructor(private readonly random: RandomGenerator) {}

  /** Sets the time until which a starting host waits for its peers' word. */
  begin(staleAtMs: number): void {
    this.staleAtMs = staleAtMs;
  }

  setWatcher(watcher: boolean, nowMs: number): void {
    if (watcher && !this.watcher) {
      const earliest = nowMs + drawBelow(this.random, TAKEOVER_SPREAD_MS);
      this.notBeforeMs = Math.max(this.notBeforeMs, earliest);
    }
    this.watcher = watcher;
  }

  /** Notes that the service confirmed the latest revision at a time. */
  confirm(atMs: number): void {
    if (atMs <= this.confirmedMs) return;
    this.confirmedMs = atMs;
    this.setStaleAt(atMs);
  }

  /** Time since the last confirmation, in milliseconds. */
  confirmedAgeMs(nowMs: number): number {
    return nowMs - this.confirmedMs;
  }

  /** Ends the call in flight. */
  succeed(): void {
    this.answerDueMs = Infinity;
    this.failures = 0;
    this.notBeforeMs = this.lastCallMs + CALL_INTERVAL_MS;
  }

  /** Ends the call in flight and puts the next one off. */
  fail(nowMs: number): void {
    this.answerDueMs = Infinity;
    this.failures++;
    const max = this.watcher ? WATCHER_BACKOFF_MAX_MS : READER_BACKOFF_MAX_MS;
    const backoff = Math.min(max, CALL_INTERVAL_MS * 2 ** this.failures);
    this.notBeforeMs =
      nowMs + backoff / 2 + drawBelow(this.random, backoff / 2);
  }

  dueAtMs(): number {
    if (this.answerDueMs !== Infinity) return this.answerDueMs;
    if (this.watcher) return this.notBeforeMs;
    return Math.max(this.staleAtMs, this.notBeforeMs);
  }

  /**
   * Takes the call that is due.
   *
   * @return The wait of a watch in milliseconds, 0 for a read; undefined when
   *     no call is due.
   */
  take(nowMs: number): number | undefined {
    if (this.answerDueMs <= nowMs) this.fail(nowMs);
    if (this.answerDueMs !== Infinity || this.dueAtMs() > nowMs) {
      return undefined;
    }
    const waitMs = this.watcher ? WATCH_WAIT_MS : 0;
    this.startCall(nowMs, waitMs);
    return waitMs;
  }

  /** Notes a call made outside this plan. */
  startCall(nowMs: number, waitMs: number): void {
    this.lastCallMs = nowMs;
    this.answerDueMs = nowMs + waitMs + CALL_TIMEOUT_MS;
  }

  private setStaleAt(fromMs: number): void {
    this.staleAtMs =
      fromMs + STALE_AFTER_MS + drawBelow(this.random, STALE_SPREAD_MS);
  }
}
