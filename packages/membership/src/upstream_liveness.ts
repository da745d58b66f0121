import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {Random} from './random.js';
import type {UpstreamChange} from './upstream_change.js';
import {UpstreamNews} from './upstream_news.js';
import type {UpstreamRecord} from './upstream_record.js';
import {UpstreamState} from './upstream_state.js';

const {USABLE, PROBING, AVOIDED, LEAVING} = UpstreamState;

const FAILURES_TO_AVOID = 2;
const FIRST_PROBE_SPREAD_MS = 200;
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 15_000;
const FIRST_RECHECK_MS = 30_000;
const MAX_RECHECK_MS = 240_000;
const PROBE_TIMEOUT_MS = 2_000;
const FRESH_SUCCESS_MS = 1_000;
const LISTED_LEAVING = 'leaving';

/**
 * Tells how one host may use each upstream, from the published list, the
 * outcome of its own calls and probes, and the word of its peers.
 */
export class UpstreamLiveness {
  private readonly records = new Map<string, UpstreamRecord>();
  private readonly changed = new Map<string, UpstreamState>();
  private readonly random: Random;
  private revision = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
  }

  /** Takes a published list; one older than the last is ignored. */
  takeList(list: UpstreamList, revision: number, nowMs: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    const names = new Set(list.upstreams.map(upstream => upstream.name));
    for (const record of this.records.values()) {
      if (names.has(record.upstream)) continue;
      this.enter(record, LEAVING);
      this.records.delete(record.upstream);
    }
    for (const {name, state} of list.upstreams) {
      const record = this.records.get(name) ?? this.add(name, nowMs);
      this.takeListed(record, state === LISTED_LEAVING, nowMs);
    }
  }

  /** Takes the success of a call; what ends well may still be leaving. */
  takeSuccess(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record === undefined) return;
    record.lastSuccessMs = nowMs;
    record.failures = 0;
    if (record.state !== LEAVING) this.restore(record);
  }

  /** Takes a failure that is the upstream's, not the request's. */
  takeFailure(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record?.state !== USABLE) return;
    record.failures++;
    if (record.failures >= FAILURES_TO_AVOID) this.avoid(record, nowMs);
  }

  /** Takes a refusal: the upstream itself says that it is leaving. */
  takeRefusal(upstream: string, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record !== undefined) this.leave(record, nowMs);
  }

  /** Takes a peer's word. A peer's failure alone calls only for a probe. */
  takeWord(upstream: string, news: UpstreamNews, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record === undefined) return;
    if (news === UpstreamNews.LEAVING) {
      this.leave(record, nowMs);
      return;
    }
    const isFresh = nowMs - record.lastSuccessMs < FRESH_SUCCESS_MS;
    if (record.state === USABLE && !isFresh) this.probeSoon(record, nowMs);
  }

  /** Takes the outcome of a probe, which is a call without work. */
  takeProbeOutcome(upstream: string, isUp: boolean, nowMs: number): void {
    const record = this.records.get(upstream);
    if (record?.probeSentMs === undefined) return;
    record.probeSentMs = undefined;
    if (record.state === LEAVING) return;
    if (!isUp) {
      this.avoid(record, nowMs);
      return;
    }
    record.lastSuccessMs = nowMs;
    this.restore(record);
  }

  /** Gives the upstreams to probe now, one probe each; call when woken. */
  takeDueProbes(nowMs: number): string[] {
    const due: string[] = [];
    for (const record of this.records.values()) {
      if (dueAtMs(record) > nowMs) continue;
      if (record.probeSentMs !== undefined) {
        record.probeSentMs = undefined;
        this.avoid(record, nowMs);
        continue;
      }
      this.enter(record, PROBING);
      record.probeSentMs = nowMs;
      due.push(record.upstream);
    }
    return due;
  }

  /** When to ask for due probes next; Infinity when none is to come. */
  wakeAtMs(): number {
    let earliest = Infinity;
    for (const record of this.records.values()) {
      earliest = Math.min(earliest, dueAtMs(record));
    }
    return earliest;
  }

  /** The state of an upstream; one that is not listed gets no work. */
  stateOf(upstream: string): UpstreamState {
    return this.records.get(upstream)?.state ?? LEAVING;
  }

  /** Gives the states changed since the last call. */
  takeChanges(): UpstreamChange[] {
    const changes = [...this.changed].map(([upstream, state]) => ({
      upstream,
      state,
    }));
    this.changed.clear();
    return changes;
  }

  private add(upstream: string, nowMs: number): UpstreamRecord {
    const record: UpstreamRecord = {
      upstream,
      state: LEAVING,
      listedLeaving: true,
      failures: 0,
      failedProbes: 0,
      timesTold: 0,
      lastSuccessMs: -Infinity,
      nextProbeMs: nowMs,
    };
    this.records.set(upstream, record);
    return record;
  }

  private takeListed(
    record: UpstreamRecord,
    isLeaving: boolean,
    nowMs: number,
  ): void {
    const returns = record.listedLeaving && !isLeaving;
    record.listedLeaving = isLeaving;
    if (isLeaving) this.enter(record, LEAVING);
    else if (returns) this.probeSoon(record, nowMs);
  }

  private probeSoon(record: UpstreamRecord, nowMs: number): void {
    const spreadMs = this.random.drawBelow(FIRST_PROBE_SPREAD_MS);
    record.failedProbes = 0;
    record.nextProbeMs = nowMs + spreadMs;
    this.enter(record, PROBING);
  }

  private restore(record: UpstreamRecord): void {
    record.failures = 0;
    record.failedProbes = 0;
    record.timesTold = 0;
    record.probeSentMs = undefined;
    this.enter(record, USABLE);
  }

  private avoid(record: UpstreamRecord, nowMs: number): void {
    const delayMs = grow(FIRST_BACKOFF_MS, record.failedProbes, MAX_BACKOFF_MS);
    record.failedProbes++;
    record.nextProbeMs = nowMs + this.spread(delayMs);
    this.enter(record, AVOIDED);
  }

  /** The list lags: one it shows live is looked at again much later. */
  private leave(record: UpstreamRecord, nowMs: number): void {
    if (record.state === LEAVING) return;
    const delayMs = grow(FIRST_RECHECK_MS, record.timesTold, MAX_RECHECK_MS);
    record.timesTold++;
    record.nextProbeMs = nowMs + this.spread(delayMs);
    record.probeSentMs = undefined;
    this.enter(record, LEAVING);
  }

  private spread(delayMs: number): number {
    return delayMs / 2 + this.random.drawBelow(delayMs);
  }

  private enter(record: UpstreamRecord, state: UpstreamState): void {
    if (record.state === state) return;
    record.state = state;
    this.changed.set(record.upstream, state);
  }
}

function dueAtMs(record: UpstreamRecord): number {
  if (record.state === USABLE || record.listedLeaving) return Infinity;
  if (record.probeSentMs === undefined) return record.nextProbeMs;
  return record.probeSentMs + PROBE_TIMEOUT_MS;
}

function grow(firstMs: number, times: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** times);
}
