import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {Random} from './random.js';
import type {UpstreamChange} from './upstream_change.js';
import {UpstreamNews} from './upstream_news.js';
import type {UpstreamRecord} from './upstream_record.js';
import {UpstreamState} from './upstream_state.js';

const {USABLE, PROBING, AVOIDED, LEAVING} = UpstreamState;

const FAILURES_TO_AVOID = 2;
const FIRST_PROBE_JITTER_MS = 200;
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 15_000;
const FIRST_RECHECK_MS = 30_000;
const MAX_RECHECK_MS = 240_000;
const PROBE_TIMEOUT_MS = 2_000;
const RECENT_SUCCESS_MS = 1_000;
const LISTED_LEAVING = 'leaving';

/**
 * Tracks whether this host may use each upstream, based on the published list,
 * the outcome of its own calls and probes, and reports from peers.
 */
export class UpstreamLiveness {
  private readonly records = new Map<string, UpstreamRecord>();
  private readonly changed = new Map<string, UpstreamState>();
  private readonly random: Random;
  private revision = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
  }

  /** Applies a published list; ignores it if its revision is not newer. */
  applyList(list: UpstreamList, revision: number, nowMs: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    const names = new Set(list.upstreams.map(upstream => upstream.name));
    for (const record of this.records.values()) {
      if (names.has(record.upstream)) continue;
      this.setState(record, LEAVING);
      this.records.delete(record.upstream);
    }
    for (const {name, state} of list.upstreams) {
      const record = this.records.get(name) ?? this.addRecord(name, nowMs);
      this.applyListedState(record, state === LISTED_LEAVING, nowMs);
    }
  }

  /** Records a successful call; a leaving upstream stays leaving. */
  recordSuccess(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record === undefined) return;
    record.lastSuccessMs = nowMs;
    record.failures = 0;
    if (record.state !== LEAVING) this.markUsable(record);
  }

  /** Records a failure caused by the upstream, not by the request. */
  recordFailure(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record?.state !== USABLE) return;
    record.failures++;
    if (record.failures >= FAILURES_TO_AVOID) this.markAvoided(record, nowMs);
  }

  /** Records that the upstream refused work because it is leaving. */
  recordRefusal(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record !== undefined) this.markLeaving(record, nowMs);
  }

  /** Records a report from a peer; a failure report only triggers a probe. */
  recordPeerReport(upstream: string, news: UpstreamNews, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record === undefined) return;
    if (news === UpstreamNews.LEAVING) {
      this.markLeaving(record, nowMs);
      return;
    }
    const isRecent = nowMs - record.lastSuccessMs < RECENT_SUCCESS_MS;
    if (record.state === USABLE && !isRecent) this.scheduleProbe(record, nowMs);
  }

  /** Records the outcome of a health probe. */
  recordProbeOutcome(upstream: string, isUp: boolean, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record?.probeSentMs === undefined) return;
    record.probeSentMs = undefined;
    if (record.state === LEAVING) return;
    if (!isUp) {
      this.markAvoided(record, nowMs);
      return;
    }
    record.lastSuccessMs = nowMs;
    this.markUsable(record);
  }

  /** Returns the upstreams to probe now, once each; call at `wakeAtMs()`. */
  takeDueProbes(nowMs: number): string[] {
    const due: string[] = [];
    for (const record of this.records.values()) {
      if (computeDueMs(record) > nowMs) continue;
      if (record.probeSentMs !== undefined) {
        record.probeSentMs = undefined;
        this.markAvoided(record, nowMs);
        continue;
      }
      this.setState(record, PROBING);
      record.probeSentMs = nowMs;
      due.push(record.upstream);
    }
    return due;
  }

  /** When to call `takeDueProbes()` next; Infinity if no probe is planned. */
  wakeAtMs(): number {
    let earliest = Infinity;
    for (const record of this.records.values()) {
      earliest = Math.min(earliest, computeDueMs(record));
    }
    return earliest;
  }

  /** Returns LEAVING for an unlisted upstream, so that it gets no work. */
  stateOf(upstream: string): UpstreamState {
    return this.records.get(upstream)?.state ?? LEAVING;
  }

  /** Returns the state changes since the last call. */
  takeChanges(): UpstreamChange[] {
    const changes = [...this.changed].map(([upstream, state]) => ({
      upstream,
      state,
    }));
    this.changed.clear();
    return changes;
  }

  private addRecord(upstream: string, nowMs: number): UpstreamRecord {
    const record: UpstreamRecord = {
      upstream,
      state: LEAVING,
      listedLeaving: true,
      failures: 0,
      failedProbes: 0,
      leavingReports: 0,
      lastSuccessMs: -Infinity,
      nextProbeMs: nowMs,
    };
    this.records.set(upstream, record);
    return record;
  }

  private applyListedState(
    record: UpstreamRecord,
    isLeaving: boolean,
    nowMs: number,
  ): void {
    const isRelisted = record.listedLeaving && !isLeaving;
    record.listedLeaving = isLeaving;
    if (isLeaving) this.setState(record, LEAVING);
    else if (isRelisted) this.scheduleProbe(record, nowMs);
  }

  private scheduleProbe(record: UpstreamRecord, nowMs: number): void {
    const jitterMs = this.random.drawBelow(FIRST_PROBE_JITTER_MS);
    record.failedProbes = 0;
    record.nextProbeMs = nowMs + jitterMs;
    this.setState(record, PROBING);
  }

  private markUsable(record: UpstreamRecord): void {
    record.failures = 0;
    record.failedProbes = 0;
    record.leavingReports = 0;
    record.probeSentMs = undefined;
    this.setState(record, USABLE);
  }

  private markAvoided(record: UpstreamRecord, nowMs: number): void {
    const delayMs = computeBackoffMs(
      FIRST_BACKOFF_MS,
      record.failedProbes,
      MAX_BACKOFF_MS,
    );
    record.failedProbes++;
    record.nextProbeMs = nowMs + this.addJitter(delayMs);
    this.setState(record, AVOIDED);
  }

  /**
   * The published list lags behind. An upstream that it still lists as live is
   * probed again after a long delay.
   */
  private markLeaving(record: UpstreamRecord, nowMs: number): void {
    if (record.state === LEAVING) return;
    const delayMs = computeBackoffMs(
      FIRST_RECHECK_MS,
      record.leavingReports,
      MAX_RECHECK_MS,
    );
    record.leavingReports++;
    record.nextProbeMs = nowMs + this.addJitter(delayMs);
    record.probeSentMs = undefined;
    this.setState(record, LEAVING);
  }

  private addJitter(delayMs: number): number {
    return delayMs / 2 + this.random.drawBelow(delayMs);
  }

  private setState(record: UpstreamRecord, state: UpstreamState): void {
    if (record.state === state) return;
    record.state = state;
    this.changed.set(record.upstream, state);
  }
}

function computeDueMs(record: UpstreamRecord): number {
  if (record.state === USABLE || record.listedLeaving) return Infinity;
  if (record.probeSentMs === undefined) return record.nextProbeMs;
  return record.probeSentMs + PROBE_TIMEOUT_MS;
}

function computeBackoffMs(
  firstMs: number,
  attempts: number,
  maxMs: number,
): number {
  return Math.min(maxMs, firstMs * 2 ** attempts);
}
