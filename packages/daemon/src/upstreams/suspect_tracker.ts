import {createHash} from 'node:crypto';
import {
  BLOCK_TIMES_MS,
  CrashStatus,
  CrashSuspects,
  type CrashBlock,
  type RequestTraits,
  type SuspectState,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {
  TraitAnswerMessage,
  TraitCrashMessage,
  SuspectMessage,
  SuspectRecords,
  SuspectSummary,
} from '@parsleywood/schema/suspects';
import type {Clock} from '../host/clock.js';
import type {ObservedCrash} from './observed_crash.js';
import {TraitTracker} from './trait_tracker.js';
import type {SuspectLog} from './suspect_log.js';
import type {SuspectPublisher} from './suspect_publisher.js';
import {SuspectSource} from './suspect_source.js';
import type {SuspectSubject} from './suspect_subject.js';

/** Time after which hosts of earlier versions forget a request. */
const DEFAULT_REMAINING_MS = 3_600_000;
const HASH_FACTOR = 31;
/** Time in which hosts begin with trials; news of the first arrives meanwhile. */
const TRIAL_SPREAD_MS = 2_000;
const OK_STATUS = 200;
const SERVER_ERROR_STATUS = 500;
const VERDICTS = new Set<string>(Object.values(CrashStatus));

/**
 * Tracks which requests crashed upstreams, on this host and on its peers.
 * Requests are identified by a fingerprint of name and body, or by traits that they
 * share with others.
 */
export class SuspectTracker {
  private readonly suspects: CrashSuspects;
  private readonly traits: TraitTracker;

  /**
   * @param countHosts Returns the number of live hosts.
   * @param turn Number in [0, 1), another one at each host: hosts try what was refused
   *     one after the other.
   */
  constructor(
    private readonly clock: Clock,
    private readonly publisher: SuspectPublisher,
    private readonly log: SuspectLog,
    countHosts: () => number,
    turn: number,
  ) {
    this.suspects = new CrashSuspects(turn * TRIAL_SPREAD_MS);
    this.traits = new TraitTracker(
      this.suspects,
      clock,
      publisher,
      countHosts,
      update => {
        this.publish(update);
      },
    );
  }

  /** Returns the crash status of a request, by itself and by its traits. */
  findStatus(subject: SuspectSubject): CrashStatus {
    if (this.traits.findBlock(subject)) return CrashStatus.BLOCKED;
    return this.findState(subject).status;
  }

  /** Returns why a request is refused, by its traits or itself; undefined if it is not. */
  findBlock(subject: SuspectSubject): CrashBlock | undefined {
    const block = this.traits.findBlock(subject);
    if (block !== undefined) return block;
    const {status} = this.findState(subject);
    if (status !== CrashStatus.BLOCKED) return undefined;
    const fingerprint = this.computeFingerprint(subject);
    return this.suspects.findBlock(fingerprint, this.clock.nowMs());
  }

  /**
   * Returns the name under which requests run one at a time, as they have a trait
   * that may crash upstreams; empty if this one has none.
   */
  findQuarantine(traits: RequestTraits): string {
    return this.traits.findQuarantine(traits);
  }

  /** Returns what is known of a request itself; needed when an attempt starts. */
  findState(subject: SuspectSubject): SuspectState {
    return this.suspects.findState(
      subject.body.length,
      () => this.computeFingerprint(subject),
      this.clock.nowMs(),
    );
  }

  /** Returns the SHA-256 that identifies a request, in hexadecimal. */
  computeFingerprint({name, body}: SuspectSubject): string {
    return createHash('sha256').update(`${name}\n`).update(body).digest('hex');
  }

  /**
   * Records the crash of upstreams while an attempt of a request ran on them.
   *
   * @return Status of the request from now on.
   */
  recordCrash(subject: SuspectSubject, crash: ObservedCrash): CrashStatus {
    const fingerprint = this.computeFingerprint(subject);
    this.traits.recordCrash(fingerprint, subject, crash);
    const {stateBefore, wasIsolated, hadLease} = crash;
    const update = this.suspects.recordCrash(
      {
        fingerprint,
        bodyBytes: subject.body.length,
        stateBefore,
        wasIsolated,
        hadLease,
      },
      this.clock.nowMs(),
    );
    this.publish(update);
    return this.findStatus(subject);
  }

  /**
   * Records that a request got a complete answer. An error of the upstream tells
   * nothing: it may come before the request runs.
   *
   * @param status HTTP status of the answer.
   * @param startedAtMs Monotonic time at which its last attempt started.
   */
  recordAnswer(
    subject: SuspectSubject,
    status: number,
    startedAtMs: number,
  ): void {
    if (status >= SERVER_ERROR_STATUS) return;
    if (status === OK_STATUS) this.traits.recordAnswer(subject, startedAtMs);
    if (this.findState(subject).status !== CrashStatus.SUSPECT) return;
    const update = this.suspects.recordSuccess(
      this.computeFingerprint(subject),
      this.clock.nowMs(),
    );
    if (update !== undefined) this.publish(update);
  }

  /** Applies what a peer saw of a crash. */
  applyTraitCrash(message: TraitCrashMessage): void {
    this.traits.applyCrash(message);
  }

  /** Applies a complete answer of a peer. */
  applyTraitAnswer(message: TraitAnswerMessage): void {
    this.traits.applyAnswer(message);
  }

  /**
   * Applies an update from a peer; one with an unknown verdict is ignored.
   *
   * @param source Whether the peer sent it as news or in a comparison.
   */
  applyUpdate(message: SuspectMessage, source = SuspectSource.PEER): void {
    const update = decodeUpdate(message);
    if (update === undefined) return;
    if (!this.suspects.applyUpdate(update, this.clock.nowMs())) return;
    this.log.record(update, source);
    if (update.traits.length > 0) this.traits.applyGroup(update.traits);
  }

  /** Summarizes all that this host knows, for a comparison with a peer. */
  summarize(isReply: boolean): SuspectSummary {
    const hashes = this.suspects.summarize(this.clock.nowMs());
    return {hashes: hashes.some(hash => hash !== 0) ? hashes : [], isReply};
  }

  /** Returns one hash of all that this host knows; 0 if that is nothing. */
  computeHash(): number {
    const hashes = this.suspects.summarize(this.clock.nowMs());
    return (
      hashes.reduce((all, hash) => Math.imul(all, HASH_FACTOR) + hash, 0) >>> 0
    );
  }

  /** Lists what a peer with this summary does not know, or knows otherwise. */
  listDifferences({hashes}: SuspectSummary): SuspectRecords {
    const updates = this.suspects.listDifferences(hashes, this.clock.nowMs());
    return {suspects: updates.map(encodeUpdate)};
  }

  private publish(update: SuspectUpdate): void {
    this.log.record(update, SuspectSource.OWN);
    this.publisher.publishSuspect(encodeUpdate(update));
  }
}

function encodeUpdate(update: SuspectUpdate): SuspectMessage {
  const {blockedMs, ...others} = update;
  const keptMs = Math.ceil(update.remainingMs);
  const remainingMs = blockedMs > 0 ? Math.ceil(blockedMs) : keptMs;
  return {...others, traits: [...update.traits], remainingMs, keptMs};
}

/** Returns the number of the block that lasts as long. */
function findBlocks(blockedMs: number): number {
  const longer = BLOCK_TIMES_MS.filter(ms => ms >= blockedMs).length;
  return BLOCK_TIMES_MS.length - Math.max(0, longer - 1);
}

function decodeUpdate(message: SuspectMessage): SuspectUpdate | undefined {
  if (!VERDICTS.has(message.verdict)) return undefined;
  const verdict = message.verdict as CrashStatus;
  // Hosts of earlier versions do not count crashes, or blocks.
  const crashes =
    verdict === CrashStatus.CLEAR ? 0 : Math.max(message.crashes, 1);
  const isBlocked = verdict === CrashStatus.BLOCKED;
  const shownMs = message.remainingMs || DEFAULT_REMAINING_MS;
  return {
    ...message,
    verdict,
    crashes,
    blocks: message.blocks || (isBlocked ? findBlocks(shownMs) : 0),
    blockedMs: isBlocked ? shownMs : 0,
    remainingMs: message.keptMs || shownMs,
  };
}
