import {createHash} from 'node:crypto';
import {
  CrashSuspects,
  CrashStatus,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {Clock} from '../host/clock.js';
import type {SuspectLog} from './suspect_log.js';
import {SuspectSource} from './suspect_source.js';
import type {SuspectSubject} from './suspect_subject.js';

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
    private readonly broadcast: (update: SuspectUpdate) => void,
    private readonly log: SuspectLog,
  ) {}

  findStatus({name, body}: SuspectSubject): CrashStatus {
    return this.suspects.findStatus(
      body.length,
      () => computeFingerprint(name, body),
      this.clock.nowMs(),
    );
  }

  /**
   * Records the crash of an upstream while a request ran on it.
   *
   * @param wasIsolated Whether the request was the only suspect there.
   */
  recordCrash({name, body}: SuspectSubject, wasIsolated: boolean): void {
    const update = this.suspects.recordCrash(
      computeFingerprint(name, body),
      body.length,
      wasIsolated,
      this.clock.nowMs(),
    );
    this.publish(update);
  }

  /** Records that a request completed as the only suspect on its upstream. */
  recordSuccess({name, body}: SuspectSubject): void {
    const update = this.suspects.recordSuccess(
      computeFingerprint(name, body),
      body.length,
    );
    if (update !== undefined) this.publish(update);
  }

  /** Applies an update from a peer; one with an unknown verdict is ignored. */
  applyUpdate(name: string, bodyBytes: number, verdict: string): void {
    if (!VERDICTS.has(verdict)) return;
    const update = {
      fingerprint: name,
      bodyBytes,
      verdict: verdict as CrashStatus,
    };
    this.suspects.applyUpdate(update, this.clock.nowMs());
    this.log.record(update, SuspectSource.PEER);
  }

  private publish(update: SuspectUpdate): void {
    this.log.record(update, SuspectSource.OWN);
    this.broadcast(update);
  }
}

function computeFingerprint(name: string, body: Buffer): string {
  return createHash('sha256').update(`${name}\n`).update(body).digest('hex');
}
