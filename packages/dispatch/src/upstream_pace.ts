import type {ExpectedEvent} from './expected_event.js';
import type {HeldLoad} from './held_load.js';
import type {PaceChange} from './pace_change.js';
import {PaceReason} from './pace_reason.js';
import {Probation} from './probation.js';

/**
 * Ratio of measured to expected pass time from which on an answer counts as paused. It
 * is the margin that a first event has as well.
 */
const SLOW_PASS_RATIO = 1.5;

interface PlannedStart {
  readonly slots: number;
  readonly atMs: number;
  readonly reason: PaceReason;
}

/**
 * Limits what all hosts hold at upstreams that have just started or recovered, by how
 * these answer. Load pattern: servers that start or come back under load, are slower
 * than stated for some seconds, and get a full load at once as they hold nothing.
 *
 * Every host derives the same from the placements that all hosts publish.
 */
export class UpstreamPace {
  private readonly probations = new Map<string, Probation>();
  private readonly planned = new Map<string, PlannedStart>();
  private changes: PaceChange[] = [];

  /** Whether any upstream is, or is to be, on probation. */
  get isActive(): boolean {
    return this.probations.size + this.planned.size > 0;
  }

  /** Copies what is in force and planned; changes are left to this one. */
  copy(): UpstreamPace {
    const copy = new UpstreamPace();
    for (const [id, one] of this.probations) {
      copy.probations.set(id, one.copy());
    }
    for (const [id, plan] of this.planned) copy.planned.set(id, plan);
    return copy;
  }

  /** Number of upstreams on probation. */
  get size(): number {
    return this.probations.size;
  }

  /** Requests that all upstreams on probation may hold together. */
  get totalWindow(): number {
    let total = 0;
    for (const {window} of this.probations.values()) total += window;
    return total;
  }

  /** Puts an upstream on probation, anew if it is on probation. */
  start(
    upstream: string,
    slots: number,
    nowMs: number,
    reason = PaceReason.STARTED,
  ): void {
    const probation = new Probation(upstream, slots, reason, nowMs);
    this.probations.set(upstream, probation);
    this.recordChange(upstream, probation, reason, false, nowMs);
  }

  /** Puts an upstream on probation at a later time, in place of an earlier plan. */
  planStart(
    upstream: string,
    slots: number,
    atMs: number,
    reason: PaceReason,
  ): void {
    this.planned.set(upstream, {slots, atMs, reason});
  }

  /** Begins and ends what is due. */
  advance(nowMs: number): void {
    if (!this.isActive) return;
    for (const [upstream, {slots, atMs, reason}] of this.planned) {
      if (atMs > nowMs) continue;
      this.planned.delete(upstream);
      this.start(upstream, slots, nowMs, reason);
    }
    for (const [upstream, probation] of this.probations) {
      probation.countOverdue(nowMs);
      this.endIfDue(upstream, probation, nowMs);
    }
  }

  /** Returns, once, the probations that have begun or ended. */
  takeChanges(): PaceChange[] {
    if (this.changes.length === 0) return [];
    const {changes} = this;
    this.changes = [];
    return changes;
  }

  isOnProbation(upstream: string): boolean {
    return this.probations.has(upstream);
  }

  /** Records that a host has sent a request. */
  recordStart(
    id: string,
    upstreams: readonly string[],
    expected: ExpectedEvent,
    nowMs: number,
  ): void {
    for (const upstream of upstreams) {
      this.probations.get(upstream)?.recordStart(id, expected, nowMs);
    }
  }

  recordFirstEvent(id: string, nowMs: number): void {
    for (const [upstream, probation] of this.probations) {
      probation.recordFirstEvent(id, nowMs);
      this.endIfDue(upstream, probation, nowMs);
    }
  }

  /**
   * Records the end of a request. One without a first event counts as late: refusals
   * and most failures are not told to other hosts otherwise.
   *
   * @param hasFailed Whether it is known to have been refused or to have failed.
   */
  recordEnd(id: string, hasFailed: boolean, nowMs: number): void {
    for (const [upstream, probation] of this.probations) {
      probation.recordEnd(id, hasFailed, nowMs);
      this.endIfDue(upstream, probation, nowMs);
    }
  }

  recordFailure(upstream: string): void {
    this.probations.get(upstream)?.recordFailure();
  }

  /** @param ratio Measured pass time divided by the expected one. */
  recordPassTimeRatio(upstream: string, ratio: number): void {
    if (ratio <= SLOW_PASS_RATIO) return;
    this.probations.get(upstream)?.recordSlowPass(ratio);
  }

  /**
   * Whether an upstream may be sent a request now. One that holds nothing always may.
   *
   * @param held What all hosts hold there already.
   */
  mayTake(
    upstream: string,
    promptTokens: number,
    held: HeldLoad,
    nowMs: number,
  ): boolean {
    const probation = this.probations.get(upstream);
    if (probation === undefined || probation.isOver(nowMs)) return true;
    if (held.requests === 0) return true;
    return (
      held.requests < probation.window &&
      held.tokens + promptTokens <= probation.memoryPart * held.maxTokens
    );
  }

  /** Requests that an upstream may hold now; undefined if it is not on probation. */
  getWindow(upstream: string): number | undefined {
    return this.probations.get(upstream)?.window;
  }

  /** Slowdown to assume of an upstream; 1 if it is not on probation. */
  getSlowdownFactor(upstream: string): number {
    return this.probations.get(upstream)?.slowdownFactor ?? 1;
  }

  /** Whether the slowdown of an upstream is more than an assumption. */
  isMeasured(upstream: string): boolean {
    return this.probations.get(upstream)?.isMeasured ?? true;
  }

  /**
   * Returns the time until one of the upstreams may take more, in milliseconds; 0 if
   * none of them is on probation.
   */
  planReturnMs(upstreams: readonly string[], nowMs: number): number {
    const waitsMs = upstreams.flatMap(
      id => this.probations.get(id)?.getWaitMs(nowMs) ?? [],
    );
    return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
  }

  /** Drops the state of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const byUpstream of [this.probations, this.planned]) {
      for (const id of byUpstream.keys()) {
        if (!upstreams.has(id)) byUpstream.delete(id);
      }
    }
  }

  private endIfDue(
    upstream: string,
    probation: Probation,
    nowMs: number,
  ): void {
    const {hasProvedItself} = probation;
    if (!hasProvedItself && !probation.isOver(nowMs)) return;
    this.probations.delete(upstream);
    const reason = hasProvedItself ? PaceReason.IN_TIME : PaceReason.TIME_OVER;
    this.recordChange(upstream, probation, reason, true, nowMs);
  }

  private recordChange(
    upstream: string,
    {window, slowdownFactor, startedAtMs}: Probation,
    reason: PaceReason,
    hasEnded: boolean,
    nowMs: number,
  ): void {
    const lastedMs = nowMs - startedAtMs;
    this.changes.push({
      upstream,
      reason,
      hasEnded,
      window,
      slowdownFactor,
      lastedMs,
    });
  }
}
