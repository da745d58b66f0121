import {computeRecordHash} from './compute_record_hash.js';
import type {CrashReport} from './crash_report.js';
import {CrashStatus} from './crash_status.js';
import {TraitGroups} from './trait_groups.js';
import type {SuspectRecord} from './suspect_record.js';
import type {SuspectState} from './suspect_state.js';
import type {SuspectUpdate} from './suspect_update.js';

const RECORD_TTL_MS = 3_600_000;
const MAX_RECORDS = 4_096;
const PURGE_INTERVAL_MS = 1_000;
/** Successive crashes that block a request which could not be isolated. */
const MAX_CRASHES = 3;
/** Parts of the range of fingerprints that hosts compare one by one. */
const BUCKETS = 64;
/** Keeps a message below 16 KB. */
const MAX_LISTED_UPDATES = 128;
const NOT_RECORDED: SuspectState = {
  status: CrashStatus.CLEAR,
  generation: 0,
  crashes: 0,
  isKnownToPeers: false,
};

/**
 * Records which requests crashed upstreams, so that one request crashes two, or
 * three where it never ran alone. A crash makes every request that ran there a
 * suspect. Suspects run on an upstream without other suspects, so a second crash
 * identifies the cause, which is then rejected.
 *
 * Only crashes of attempts that were started after the crash before count
 * together. Attempts that were in flight at the same time tell of one outage, as
 * often as they were sent.
 */
export class CrashSuspects {
  private readonly records = new Map<string, SuspectRecord>();
  /** Number of records that are not cleared, for each body length. */
  private readonly countByBodyBytes = new Map<number, number>();
  /** Combined hash of the records in each bucket. */
  private readonly bucketHashes = new Uint32Array(BUCKETS);
  /** Traits of requests that are blocked. */
  private readonly blockedGroups = new TraitGroups();
  private purgeAtMs = 0;

  /** Number of records, including expired ones that are not yet deleted. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Returns the crash status of a request.
   *
   * @param computeFingerprint Called only when a record has the same body
   *     length.
   */
  findStatus(
    bodyBytes: number,
    computeFingerprint: () => string,
    nowMs: number,
  ): CrashStatus {
    return this.findState(bodyBytes, computeFingerprint, nowMs).status;
  }

  /** Returns what is known of a request; the arguments are as for `findStatus`. */
  findState(
    bodyBytes: number,
    computeFingerprint: () => string,
    nowMs: number,
  ): SuspectState {
    if (!this.countByBodyBytes.has(bodyBytes)) return NOT_RECORDED;
    const record = this.findRecord(computeFingerprint(), nowMs);
    if (record === undefined) return NOT_RECORDED;
    const {generation, crashes, isKnownToPeers} = record;
    return {status: getStatus(record), generation, crashes, isKnownToPeers};
  }

  /**
   * Records the crash of an upstream that was running a request.
   *
   * @return Update to send to the peers.
   */
  recordCrash(report: CrashReport, nowMs: number): SuspectUpdate {
    const {fingerprint, bodyBytes, stateBefore, wasIsolated} = report;
    const before = this.findRecord(fingerprint, nowMs);
    const generation = Math.max(
      before?.generation ?? 0,
      stateBefore.generation,
    );
    // A request that was cleared meanwhile is not the one that was suspected.
    const isCurrent =
      stateBefore.status === CrashStatus.CLEAR ||
      stateBefore.generation === generation;
    const crashes = Math.max(
      before?.crashes ?? 0,
      (isCurrent ? stateBefore.crashes : 0) + 1,
    );
    const isBlocked =
      before?.isBlocked === true ||
      (wasIsolated && isCurrent) ||
      crashes >= MAX_CRASHES;
    const isKnownToPeers = before?.isKnownToPeers ?? false;
    return this.store(
      {
        fingerprint,
        bodyBytes,
        traits: [],
        generation,
        crashes,
        isBlocked,
        isKnownToPeers,
      },
      RECORD_TTL_MS,
      nowMs,
    );
  }

  /**
   * Blocks the requests that have all traits of a group.
   *
   * @param traits Sorted.
   * @return Update to send to the peers.
   */
  blockTraits(
    fingerprint: string,
    traits: readonly string[],
    crashes: number,
    ttlMs: number,
    nowMs: number,
  ): SuspectUpdate {
    const before = this.findRecord(fingerprint, nowMs);
    return this.store(
      {
        fingerprint,
        bodyBytes: 0,
        traits,
        generation: before?.generation ?? 0,
        crashes,
        isBlocked: true,
        isKnownToPeers: before?.isKnownToPeers ?? false,
      },
      ttlMs,
      nowMs,
    );
  }

  /**
   * Clears the blocked groups that a request with a complete answer had.
   *
   * @return Updates to send to the peers.
   */
  clearTraits(traits: readonly string[], nowMs: number): SuspectUpdate[] {
    const cleared = this.listBlockedTraits(traits, nowMs);
    return cleared.map(record =>
      this.store(
        {
          ...record,
          generation: record.generation + 1,
          crashes: 0,
          isBlocked: false,
        },
        RECORD_TTL_MS,
        nowMs,
      ),
    );
  }

  /** Lists the blocked groups of traits that a request has. */
  listBlockedTraits(traits: readonly string[], nowMs: number): SuspectRecord[] {
    return this.blockedGroups
      .listIn(traits)
      .flatMap(fingerprint => this.findRecord(fingerprint, nowMs) ?? []);
  }

  /** Lists all blocked groups of traits. */
  listBlockedGroups(): (readonly string[])[] {
    return this.blockedGroups.list();
  }

  /**
   * Clears a suspect that completed its answer. A blocked request stays blocked.
   *
   * @return Update to send to the peers; undefined if nothing changes.
   */
  recordSuccess(fingerprint: string, nowMs: number): SuspectUpdate | undefined {
    const before = this.findRecord(fingerprint, nowMs);
    if (before === undefined || getStatus(before) !== CrashStatus.SUSPECT) {
      return undefined;
    }
    const generation = before.generation + 1;
    return this.store(
      {...before, generation, crashes: 0},
      RECORD_TTL_MS,
      nowMs,
    );
  }

  /**
   * Applies an update from a peer. A blocked request stays blocked until
   * its record expires.
   *
   * @return Whether the update changed what is known.
   */
  applyUpdate(update: SuspectUpdate, nowMs: number): boolean {
    const {fingerprint, bodyBytes, traits, verdict, generation, crashes} =
      update;
    const before = this.findRecord(fingerprint, nowMs);
    const isBlocked = verdict === CrashStatus.BLOCKED;
    const isKnownToPeers = true;
    if (before !== undefined && !isNewer(update, before)) {
      this.records.set(fingerprint, {...before, isKnownToPeers});
      return false;
    }
    this.store(
      {
        fingerprint,
        bodyBytes,
        traits,
        generation,
        crashes,
        isBlocked,
        isKnownToPeers,
      },
      Math.min(update.remainingMs, RECORD_TTL_MS),
      nowMs,
    );
    return true;
  }

  /** Summarizes all records: one hash for each part of the fingerprints' range. */
  summarize(nowMs: number): number[] {
    if (nowMs >= this.purgeAtMs) this.purge(nowMs);
    return [...this.bucketHashes];
  }

  /**
   * Lists the records in the parts that differ from a summary of a peer, blocked
   * requests first.
   */
  listDifferences(summary: readonly number[], nowMs: number): SuspectUpdate[] {
    const own = this.summarize(nowMs);
    const differing = [...this.records.values()].filter(
      ({fingerprint, expiresAtMs}) => {
        const bucket = getBucket(fingerprint);
        const isExpired = expiresAtMs <= nowMs;
        return !isExpired && own[bucket] !== (summary[bucket] ?? 0);
      },
    );
    const rank = ({isBlocked}: SuspectRecord): number => (isBlocked ? 0 : 1);
    return differing
      .sort((left, right) => rank(left) - rank(right))
      .slice(0, MAX_LISTED_UPDATES)
      .map(record => describeRecord(record, nowMs));
  }

  private findRecord(
    fingerprint: string,
    nowMs: number,
  ): SuspectRecord | undefined {
    const record = this.records.get(fingerprint);
    if (record === undefined || record.expiresAtMs > nowMs) return record;
    this.deleteRecord(fingerprint);
    return undefined;
  }

  private store(
    suspect: Omit<SuspectRecord, 'expiresAtMs' | 'hash'>,
    ttlMs: number,
    nowMs: number,
  ): SuspectUpdate {
    const {fingerprint, bodyBytes, crashes} = suspect;
    this.deleteRecord(fingerprint);
    if (this.records.size >= MAX_RECORDS) this.evictOne();
    const hash = computeRecordHash(suspect);
    const record = {...suspect, expiresAtMs: nowMs + ttlMs, hash};
    this.records.set(fingerprint, record);
    this.toggleHash(record);
    if (record.traits.length > 0) {
      if (record.isBlocked) this.blockedGroups.add(fingerprint, record.traits);
    } else if (crashes > 0) {
      this.count(bodyBytes, 1);
    }
    return describeRecord(record, nowMs);
  }

  private purge(nowMs: number): void {
    this.purgeAtMs = nowMs + PURGE_INTERVAL_MS;
    for (const {fingerprint, expiresAtMs} of [...this.records.values()]) {
      if (expiresAtMs <= nowMs) this.deleteRecord(fingerprint);
    }
  }

  /** Deletes the oldest record, of a blocked request only if all are. */
  private evictOne(): void {
    const records = [...this.records.values()];
    const evicted = records.find(({isBlocked}) => !isBlocked) ?? records[0];
    if (evicted !== undefined) this.deleteRecord(evicted.fingerprint);
  }

  private deleteRecord(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    this.records.delete(fingerprint);
    this.toggleHash(record);
    if (record.traits.length > 0) {
      this.blockedGroups.remove(fingerprint, record.traits);
    } else if (record.crashes > 0) {
      this.count(record.bodyBytes, -1);
    }
  }

  /** Adds a record to the hash of its bucket, or removes it. */
  private toggleHash({fingerprint, hash}: SuspectRecord): void {
    const bucket = getBucket(fingerprint);
    const before = this.bucketHashes[bucket] ?? 0;
    this.bucketHashes[bucket] = before ^ hash;
  }

  private count(bodyBytes: number, change: 1 | -1): void {
    const count = (this.countByBodyBytes.get(bodyBytes) ?? 0) + change;
    if (count > 0) this.countByBodyBytes.set(bodyBytes, count);
    else this.countByBodyBytes.delete(bodyBytes);
  }
}

function getStatus({isBlocked, crashes}: SuspectRecord): CrashStatus {
  if (isBlocked) return CrashStatus.BLOCKED;
  return crashes > 0 ? CrashStatus.SUSPECT : CrashStatus.CLEAR;
}

function describeRecord(record: SuspectRecord, nowMs: number): SuspectUpdate {
  const {fingerprint, bodyBytes, traits, generation, crashes, expiresAtMs} =
    record;
  return {
    fingerprint,
    bodyBytes,
    traits,
    verdict: getStatus(record),
    generation,
    crashes,
    remainingMs: expiresAtMs - nowMs,
  };
}

function getBucket(fingerprint: string): number {
  return Number.parseInt(fingerprint.slice(0, 2), 16) % BUCKETS || 0;
}

/** Orders what hosts know, so that all of them come to the same record. */
function isNewer(update: SuspectUpdate, record: SuspectRecord): boolean {
  const isBlocked = update.verdict === CrashStatus.BLOCKED;
  const hasTraits = update.traits.length > 0;
  if (!hasTraits && isBlocked !== record.isBlocked) return isBlocked;
  if (update.generation !== record.generation) {
    return update.generation > record.generation;
  }
  return update.crashes > record.crashes;
}
