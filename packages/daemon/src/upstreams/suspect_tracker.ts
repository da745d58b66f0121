import {createHash} from 'node:crypto';
import {
  CrashStatus,
  CrashSuspects,
  type SuspectState,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {
  SuspectMessage,
  SuspectRecords,
  SuspectSummary,
} from '@parsleywood/schema/suspects';
import type {Clock} from '../host/clock.js';
import type {SuspectLog} from './suspect_log.js';
import {SuspectSource} from './suspect_source.js';
import type {SuspectSubject} from './suspect_subject.js';

/** Time after which hosts of earlier versions forget a request. */
const DEFAULT_REMAINING_MS = 3_600_000;
const HASH_FACTOR = 31;
const VERDICTS = new Set<string>(Object.values(CrashStatus));

/**
 * Tracks which requests crashed upstreams, on this host and on its peers.
 * Requests are identified by a fingerprint of name and body.
 */
export class SuspectTracker {
  private readonly suspects = new CrashSuspects();

  /** @param broadcast Sends an update to every peer. */
  constructor(
    private readonly clock: Clock,
    private readonly broadcast: (update: SuspectMessage) => void,
    private readonly log: SuspectLog,
  ) {}

  findStatus(subject: SuspectSubject): CrashStatus {
    return this.findState(subject).status;
  }

  /** Returns what is known of a request; needed when an attempt starts. */
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
   * Records the crash of an upstream while an attempt of a request ran on it.
   *
   * @param stateBefore What was known when the attempt started.
   * @param wasIsolated Whether the attempt ran as the only suspect there.
   * @return Status of the request from now on.
   */
  recordCrash(
    subject: SuspectSubject,
    stateBefore: SuspectState,
    wasIsolated: boolean,
  ): CrashStatus {
    const update = this.suspects.recordCrash(
      {
        fingerprint: this.computeFingerprint(subject),
        bodyBytes: subject.body.length,
        stateBefore,
        wasIsolated,
      },
      this.clock.nowMs(),
    );
    this.publish(update);
    return update.verdict;
  }

  /** Records that a request completed. */
  recordSuccess(subject: SuspectSubject): void {
    if (this.findStatus(subject) !== CrashStatus.SUSPECT) return;
    const update = this.suspects.recordSuccess(
      this.computeFingerprint(subject),
      this.clock.nowMs(),
    );
    if (update !== undefined) this.publish(update);
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
    this.broadcast(encodeUpdate(update));
  }
}

function encodeUpdate(update: SuspectUpdate): SuspectMessage {
  return {...update, remainingMs: Math.ceil(update.remainingMs)};
}

function decodeUpdate(message: SuspectMessage): SuspectUpdate | undefined {
  if (!VERDICTS.has(message.verdict)) return undefined;
  const verdict = message.verdict as CrashStatus;
  // Hosts of earlier versions do not count crashes.
  const crashes =
    verdict === CrashStatus.CLEAR ? 0 : Math.max(message.crashes, 1);
  const remainingMs = message.remainingMs || DEFAULT_REMAINING_MS;
  return {...message, verdict, crashes, remainingMs};
}
