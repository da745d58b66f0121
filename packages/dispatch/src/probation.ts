import type {ExpectedEvent} from './expected_event.js';
import type {PaceReason} from './pace_reason.js';

/** Slowdown that is assumed of an upstream that has not been measured. */
const FIRST_SLOWDOWN_FACTOR = 4;
/** Bounds of a measured slowdown, those of `UpstreamHealth`. */
const MIN_SLOWDOWN_FACTOR = 1;
const MAX_SLOWDOWN_FACTOR = 10;
/**
 * Part of the assumed slowdown that a first event takes away that is in time but says
 * little of this upstream. Without it, engines that only help with split prompts keep
 * the assumption for 10 s; at 0.4, slow engines lose it too early.
 */
const DOUBT_WEIGHT = 0.2;
/** Largest slowdown at which a probation may end early. */
const MAX_FACTOR_TO_END = 2;
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

/** Factor of a forecast up to which a first event is in time. */
const IN_TIME_FACTOR = 1.5;

/** Shortest time of a part; shorter ones could not be told from delays. */
const MIN_PART_MS = 20;

/**
 * Ratio of a first event's time to that of the part from which on the event shows
 * nothing: an upstream that is as slow as assumed at first may give it as well.
 */
const MAX_PROOF_RATIO = 3;

interface Pending {
  readonly startedAtMs: number;
  readonly expected: ExpectedEvent;
  /** Prefill time of requests that were placed there since, in milliseconds. */
  addedMs: number;
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
    private readonly upstream: string,
    private readonly slots: number,
    readonly reason: PaceReason,
    readonly startedAtMs: number,
  ) {
    this.requests = Math.max(1, Math.floor(slots * FIRST_WINDOW_PART));
  }

  copy(): Probation {
    const {upstream, slots, reason, startedAtMs} = this;
    const copy = new Probation(upstream, slots, reason, startedAtMs);
    copy.requests = this.requests;
    copy.factor = this.factor;
    copy.eventsInTime = this.eventsInTime;
    copy.wasMeasured = this.wasMeasured;
    for (const [id, one] of this.pending) copy.pending.set(id, {...one});
    return copy;
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
    return (
      this.requests >= this.slots &&
      this.eventsInTime >= EVENTS_TO_END &&
      this.factor <= MAX_FACTOR_TO_END
    );
  }

  isOver(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= MAX_DURATION_MS;
  }

  recordStart(id: string, expected: ExpectedEvent, nowMs: number): void {
    if (this.pending.has(id)) return;
    // Parts of split prompts are prefilled first, and other prompts in the same pass.
    for (const one of this.pending.values()) one.addedMs += expected.workMs;
    const counts = {addedMs: 0, isCounted: false};
    this.pending.set(id, {startedAtMs: nowMs, expected, ...counts});
  }

  recordFirstEvent(id: string, nowMs: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    const {startedAtMs, expected, addedMs, isCounted} = pending;
    const {forecastMs, limitMs} = expected;
    const elapsedMs = nowMs - startedAtMs;
    const extraMs = IN_TIME_FACTOR * addedMs;
    this.wasMeasured = true;
    if (elapsedMs > limitMs + extraMs) {
      if (!this.mayBeCause(pending, elapsedMs)) return;
      if (forecastMs !== undefined) {
        this.measure(elapsedMs / (forecastMs + addedMs));
      }
      if (!isCounted) this.recordLate();
      return;
    }
    this.requests = Math.min(this.slots, this.requests * 2);
    // The part took no longer than all: this bounds the slowdown from above. Other
    // engines, prompts and messages may account for the rest.
    const partMs =
      forecastMs === undefined ? elapsedMs : this.getPartMs(expected);
    const ratio = elapsedMs / Math.max(partMs, MIN_PART_MS);
    this.eventsInTime++;
    if (ratio < MAX_PROOF_RATIO) {
      this.measure(ratio <= IN_TIME_FACTOR ? MIN_SLOWDOWN_FACTOR : ratio);
    } else this.factor -= DOUBT_WEIGHT * (this.factor - MIN_SLOWDOWN_FACTOR);
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
      const overdueMs = nowMs - one.startedAtMs - getLimitMs(one);
      if (one.isCounted || overdueMs <= LOSS_MARGIN_MS) continue;
      one.isCounted = true;
      const elapsedMs = nowMs - one.startedAtMs;
      if (this.mayBeCause(one, elapsedMs)) this.recordLate();
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

  /**
   * Whether this upstream can have caused a delay. Of a split prompt it has only a
   * part, which would have to take longer than any slowdown explains.
   */
  private mayBeCause({expected, addedMs}: Pending, elapsedMs: number): boolean {
    if (expected.partsMs.size <= 1) return true;
    const partMs = this.getPartMs(expected) + addedMs;
    return elapsedMs <= MAX_SLOWDOWN_FACTOR * partMs;
  }

  private getPartMs({partsMs}: ExpectedEvent): number {
    return partsMs.get(this.upstream) ?? 0;
  }

  private recordLate(): void {
    this.eventsInTime = 0;
    this.requests = Math.max(1, Math.floor(this.requests / 2));
  }

  private measure(ratio: number): void {
    this.factor = Math.min(
      Math.max(ratio, MIN_SLOWDOWN_FACTOR),
      MAX_SLOWDOWN_FACTOR,
    );
  }
}

/** Time up to which a first event is in time, by what has been placed since. */
function getLimitMs({expected, addedMs}: Pending): number {
  return expected.limitMs + IN_TIME_FACTOR * addedMs;
}
