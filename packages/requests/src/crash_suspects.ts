import {BLOCK_TIMES_MS} from './block_times.js';
import {computeRecordHash} from './compute_record_hash.js';
import type {CrashBlock} from './crash_block.js';
import type {CrashReport} from './crash_report.js';
import {CrashStatus} from './crash_status.js';
import {describeBlock} from './describe_block.js';
import {describeSuspect} from './describe_suspect.js';
import {findStatus} from './find_status.js';
import {isNewer} from './is_newer.js';
import {TraitGroups} from './trait_groups.js';
import type {SuspectRecord} from './suspect_record.js';
import type {SuspectState} from './suspect_state.js';
import type {SuspectUpdate} from './suspect_update.js';

const RECORD_TTL_MS = 3_600_000;
const MAX_RECORDS = 4_096;
const PURGE_INTERVAL_MS = 1_000;
/** Successive crashes that block a request which could not be isolated. */
const MAX_CRASHES = 3;
const FINAL_BLOCK = BLOCK_TIMES_MS.length;
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
 * Records which requests crashed upstreams. A crash makes every request that ran there
 * a suspect. Suspects run on an upstream without other suspects, so a second crash
 * tells much against a request, and so does a third one in any case: it is rejected for
 * some seconds. Then it is tried again, since upstreams also crash for other reasons:
 * a complete answer clears it, and each further crash has it rejected for longer.
 * What crashed upstreams alone is rejected for good.
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
  /** Traits of requests that are or were blocked. */
  private readonly groups = new TraitGroups();
  private purgeAtMs = 0;

  /**
   * @param trialDelayMs Time after a block for which this host leaves the trial to
   *     others.
   */
  constructor(private readonly trialDelayMs = 0) {}

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
    const status = this.getStatus(record, nowMs);
    return {status, generation, crashes, isKnownToPeers};
  }

  /** Returns the block of a request as a whole; undefined if it is not refused. */
  findBlock(fingerprint: string, nowMs: number): CrashBlock | undefined {
    const record = this.findRecord(fingerprint, nowMs);
    if (record === undefined) return undefined;
    const isBlocked = this.getStatus(record, nowMs) === CrashStatus.BLOCKED;
    return isBlocked
      ? describeBlock(record, nowMs, this.trialDelayMs)
      : undefined;
  }

  /**
   * Records the crash of an upstream that was running a request.
   *
   * @return Update to send to the peers.
   */
  recordCrash(report: CrashReport, nowMs: number): SuspectUpdate {
    const {fingerprint, bodyBytes, stateBefore, wasIsolated, hadLease} = report;
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
    const isFatal = (wasIsolated && isCurrent) || crashes >= MAX_CRASHES;
    const blocks = before?.blocks ?? 0;
    const isNew = blocks === 0 || crashes > (before?.crashes ?? 0);
    const record = {
      fingerprint,
      bodyBytes,
      traits: [],
      generation,
      crashes,
      blocks,
      blockedUntilMs: before?.blockedUntilMs ?? 0,
      isKnownToPeers: before?.isKnownToPeers ?? false,
    };
    return isFatal && isNew
      ? this.block(record, hadLease && isCurrent, nowMs)
      : this.store(record, RECORD_TTL_MS, nowMs);
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
    nowMs: number,
  ): SuspectUpdate {
    const before = this.findRecord(fingerprint, nowMs);
    const record = {
      fingerprint,
      bodyBytes: 0,
      traits,
      generation: before?.generation ?? 0,
      crashes: Math.max(crashes, (before?.crashes ?? 0) + 1),
      blocks: before?.blocks ?? 0,
      blockedUntilMs: 0,
      isKnownToPeers: before?.isKnownToPeers ?? false,
    };
    return this.block(record, false, nowMs);
  }

  /**
   * Blocks again the groups that a request had under which an upstream crashed after
   * their block had ended.
   *
   * @return Updates to send to the peers.
   */
  recordTraitCrash(
    traits: readonly string[],
    startedAtMs: number,
    nowMs: number,
  ): SuspectUpdate[] {
    return this.listGroups(traits, nowMs)
      .filter(({blockedUntilMs}) => startedAtMs >= blockedUntilMs)
      .map(({fingerprint, traits: group, crashes}) =>
        this.blockTraits(fingerprint, group, crashes + 1, nowMs),
      );
  }

  /**
   * Clears the groups of a request with a complete answer that were on trial, and those
   * that are known to be sound.
   *
   * @param startedAtMs Monotonic time at which its attempt started.
   * @return Updates to send to the peers.
   */
  clearTraits(
    traits: readonly string[],
    startedAtMs: number,
    isSound: (group: readonly string[]) => boolean,
    nowMs: number,
  ): SuspectUpdate[] {
    return this.listGroups(traits, nowMs)
      .filter(
        ({traits: group, blockedUntilMs}) =>
          startedAtMs >= blockedUntilMs || isSound(group),
      )
      .map(record => this.store(clear(record), RECORD_TTL_MS, nowMs));
  }

  /** Returns a block of traits that a request has; undefined if there is none. */
  findTraitBlock(
    traits: readonly string[],
    nowMs: number,
  ): CrashBlock | undefined {
    const records = this.listGroups(traits, nowMs);
    const [longest] = records
      .filter(record => this.getStatus(record, nowMs) === CrashStatus.BLOCKED)
      .sort((left, right) => right.blockedUntilMs - left.blockedUntilMs);
    return longest && describeBlock(longest, nowMs, this.trialDelayMs);
  }

  /**
   * Returns the fingerprint of a group that a request has and whose requests run one
   * at a time, as its block has ended; undefined if there is none.
   */
  findTrial(traits: readonly string[], nowMs: number): string | undefined {
    return this.listGroups(traits, nowMs)[0]?.fingerprint;
  }

  /**
   * Blocks for good what is blocked for a while, as nothing else explains its crashes.
   *
   * @return Update to send to the peers; undefined if nothing changes.
   */
  confirm(fingerprint: string, nowMs: number): SuspectUpdate | undefined {
    const record = this.findRecord(fingerprint, nowMs);
    if (record === undefined || record.blocks === FINAL_BLOCK) return undefined;
    const isBlocked = this.getStatus(record, nowMs) === CrashStatus.BLOCKED;
    return isBlocked ? this.block(record, true, nowMs) : undefined;
  }

  /** Whether a group of traits is blocked or on trial. */
  isKnownGroup(fingerprint: string, nowMs: number): boolean {
    return (this.findRecord(fingerprint, nowMs)?.blocks ?? 0) > 0;
  }

  /** Lists all groups of traits that are blocked or on trial. */
  listBlockedGroups(): (readonly string[])[] {
    return this.groups.list();
  }

  /**
   * Clears a suspect that completed its answer. A request stays blocked.
   *
   * @return Update to send to the peers; undefined if nothing changes.
   */
  recordSuccess(fingerprint: string, nowMs: number): SuspectUpdate | undefined {
    const before = this.findRecord(fingerprint, nowMs);
    if (
      before === undefined ||
      this.getStatus(before, nowMs) !== CrashStatus.SUSPECT
    ) {
      return undefined;
    }
    return this.store(clear(before), RECORD_TTL_MS, nowMs);
  }

  /**
   * Applies an update from a peer. A request whose block is final stays blocked until
   * its record expires.
   *
   * @return Whether the update changed what is known.
   */
  applyUpdate(update: SuspectUpdate, nowMs: number): boolean {
    const {fingerprint, bodyBytes, traits, generation, crashes, blocks} =
      update;
    const before = this.findRecord(fingerprint, nowMs);
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
        blocks,
        blockedUntilMs: blocks === 0 ? 0 : nowMs + update.blockedMs,
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
    return differing
      .sort((left, right) => right.blocks - left.blocks)
      .slice(0, MAX_LISTED_UPDATES)
      .map(record => describeSuspect(record, nowMs));
  }

  private getStatus(record: SuspectRecord, nowMs: number): CrashStatus {
    const isFinal = record.blocks === FINAL_BLOCK;
    return findStatus(record, isFinal ? nowMs : nowMs - this.trialDelayMs);
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

  /** Stores a record whose requests are refused from now on. */
  private block(
    record: Omit<SuspectRecord, 'expiresAtMs' | 'hash'>,
    isProven: boolean,
    nowMs: number,
  ): SuspectUpdate {
    const blocks = isProven
      ? FINAL_BLOCK
      : Math.max(record.blocks, Math.min(FINAL_BLOCK - 1, record.blocks + 1));
    const blockedUntilMs = nowMs + (BLOCK_TIMES_MS[blocks - 1] ?? 0);
    return this.store(
      {...record, blocks, blockedUntilMs},
      RECORD_TTL_MS,
      nowMs,
    );
  }

  /** Lists the records of the groups that a request has and that are or were blocked. */
  private listGroups(
    traits: readonly string[],
    nowMs: number,
  ): SuspectRecord[] {
    return this.groups
      .listIn(traits)
      .flatMap(fingerprint => this.findRecord(fingerprint, nowMs) ?? []);
  }

  private store(
    suspect: Omit<SuspectRecord, 'expiresAtMs' | 'hash'>,
    ttlMs: number,
    nowMs: number,
  ): SuspectUpdate {
    const {fingerprint, bodyBytes, traits, crashes} = suspect;
    this.deleteRecord(fingerprint);
    if (this.records.size >= MAX_RECORDS) this.evictOne();
    const hash = computeRecordHash(suspect);
    const record = {...suspect, expiresAtMs: nowMs + ttlMs, hash};
    this.records.set(fingerprint, record);
    this.toggleHash(record);
    if (traits.length > 0) {
      if (record.blocks > 0) this.groups.add(fingerprint, traits);
    } else if (crashes > 0) {
      this.count(bodyBytes, 1);
    }
    return describeSuspect(record, nowMs);
  }

  private purge(nowMs: number): void {
    this.purgeAtMs = nowMs + PURGE_INTERVAL_MS;
    for (const {fingerprint, expiresAtMs} of [...this.records.values()]) {
      if (expiresAtMs <= nowMs) this.deleteRecord(fingerprint);
    }
  }

  /** Deletes the oldest record, of one that was blocked only if all were. */
  private evictOne(): void {
    const records = [...this.records.values()];
    const evicted = records.find(({blocks}) => blocks === 0) ?? records[0];
    if (evicted !== undefined) this.deleteRecord(evicted.fingerprint);
  }

  private deleteRecord(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    this.records.delete(fingerprint);
    this.toggleHash(record);
    if (record.traits.length > 0) {
      this.groups.remove(fingerprint, record.traits);
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

function clear(record: SuspectRecord): SuspectRecord {
  const generation = record.generation + 1;
  return {...record, generation, crashes: 0, blocks: 0, blockedUntilMs: 0};
}

function getBucket(fingerprint: string): number {
  return Number.parseInt(fingerprint.slice(0, 2), 16) % BUCKETS || 0;
}
