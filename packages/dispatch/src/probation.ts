import type {ExpectedEvent} from './expected_event.js';
import type {PaceReason} from './pace_reason.js';

/** Slowdown that is assumed of an upstream that has not been measured. */
const FIRST_SLOWDOWN_FACTOR = 4;
/** Bounds of a measured slowdown, those of `UpstreamHealth`. */
const MIN_SLOWDOWN_FACTOR = 1;
const MAX_SLOWDOWN_FACTOR = 10;
/** Weight of the newest measurement where the slowdown falls. */
const SMOOTHING_FACTOR = 0.5;
/** Part of the slots that may be used at first. */
const FIRST_WINDOW_PART = 0.5;
/** First events in a row that must be in time before a probation ends. */
const EVENTS_TO_END = 3;
/** Longest probation, in milliseconds. */
const MAX_DURATION_MS = 10_000;
/**
 * Time beyond the limit of a first event after which it counts as late without having
 * been reported: the message may be lost.
 */
const LOSS_MARGIN_MS = 450;

interface Pending {
  readonly startedAtMs: number;
  readonly expected: ExpectedEvent;
  isCounted: boolean;
}

/** What is known of one upstream since it started or recovered. */
export class Probation {
  private requests: number;
  private factor = FIRST_SLOWDOWN_FACTOR;
  private eventsInTime = 0;
  private wasMeasured = false;
  private readonly pending = new Map<string, Pending>();

  constructor(
    private readonly slots: number,
    readonly reason: PaceReason,
    readonly startedAtMs: number,
  ) {
    this.requests = Math.max(1, Math.floor(slots * FIRST_WINDOW_PART));
  }

  /** Requests that the upstream may hold from all hosts. */
  get window(): number {
    return this.requests;
  }

  /** Part of the upstream's memory that requests may use, 0 to 1. */
  get memoryPart(): number {
    return this.requests / Math.max(this.slots, 1);
  }

  get slowdownFactor(): number {
    return this.factor;
  }

  /** Whether a first event has come. */
  get isMeasured(): boolean {
    return this.wasMeasured;
  }

  get hasProvedItself(): boolean {
    return this.requests >= this.slots && this.eventsInTime >= EVENTS_TO_END;
  }

  isOver(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= MAX_DURATION_MS;
  }

  recordStart(id: string, expected: ExpectedEvent, nowMs: number): void {
    if (this.pending.has(id)) return;
    this.pending.set(id, {startedAtMs: nowMs, expected, isCounted: false});
  }

  recordFirstEvent(id: string, nowMs: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    const {startedAtMs, expected, isCounted} = pending;
    const {forecastMs, limitMs} = expected;
    const elapsedMs = nowMs - startedAtMs;
    if (forecastMs !== undefined) {
      // Within the limit, the delay of messages must not look like slowness.
      const excessMs = Math.max(0, elapsedMs - limitMs);
      this.measure(excessMs > 0 ? elapsedMs / forecastMs : 1);
    }
    this.wasMeasured = true;
    if (elapsedMs > limitMs) {
      if (!isCounted) this.recordLate();
    } else {
      this.eventsInTime++;
      this.requests = Math.min(this.slots, this.requests * 2);
    }
  }

  /** @param hasFailed Whether the end is known to be a refusal or a failure. */
  recordEnd(id: string, hasFailed: boolean, nowMs: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    if (pending.expected.endsWithAnswer && !hasFailed) {
      this.recordFirstEvent(id, nowMs);
      return;
    }
    this.pending.delete(id);
    if (!pending.isCounted) this.recordLate();
  }

  recordFailure(): void {
    this.eventsInTime = 0;
    this.requests = 1;
  }

  /** Records that an answer in progress pauses for longer than it should. */
  recordSlowPass(ratio: number): void {
    this.wasMeasured = true;
    this.measure(ratio);
    this.recordLate();
  }

  /** Counts the first events that are overdue as late. */
  countOverdue(nowMs: number): void {
    for (const one of this.pending.values()) {
      const overdueMs = nowMs - one.startedAtMs - one.expected.limitMs;
      if (one.isCounted || overdueMs <= LOSS_MARGIN_MS) continue;
      one.isCounted = true;
      this.recordLate();
    }
  }

  /** Time until something is expected that widens the window, in milliseconds. */
  getWaitMs(nowMs: number): number {
    const leftMs = this.startedAtMs + MAX_DURATION_MS - nowMs;
    let waitMs = leftMs;
    for (const {startedAtMs, expected, isCounted} of this.pending.values()) {
      if (isCounted) continue;
      const {forecastMs, limitMs} = expected;
      const expectedMs =
        forecastMs === undefined ? limitMs : this.factor * forecastMs;
      waitMs = Math.min(waitMs, startedAtMs + expectedMs - nowMs);
    }
    return Math.max(1, waitMs);
  }

  private recordLate(): void {
    this.eventsInTime = 0;
    this.requests = Math.max(1, Math.floor(this.requests / 2));
  }

  private measure(ratio: number): void {
    const bounded = Math.min(
      Math.max(ratio, MIN_SLOWDOWN_FACTOR),
      MAX_SLOWDOWN_FACTOR,
    );
    if (bounded >= this.factor) this.factor = bounded;
    else this.factor += SMOOTHING_FACTOR * (bounded - this.factor);
  }
}
