import {createHash} from 'node:crypto';
import {
  CrashStatus,
  CrashSuspects,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {Clock} from '../host/clock.js';
import type {SuspectSubject} from './suspect_subject.js';

const CRASH_STATUSES = new Set<string>(Object.values(CrashStatus));

/** Judges requests by what they did to upstreams, here and at the peers. */
export class SuspectDesk {
  private readonly suspects = new CrashSuspects();

  /** @param tell Tells every peer. */
  constructor(
    private readonly clock: Clock,
    private readonly tell: (update: SuspectUpdate) => void,
  ) {}

  judge({model, body}: SuspectSubject): CrashStatus {
    return this.suspects.findStatus(
      body.length,
      () => fingerprint(model, body),
      this.clock.nowMs(),
    );
  }

  /** Takes the crash of an engine on which a request ran. */
  noteCrash({model, body}: SuspectSubject, wasAlone: boolean): void {
    const update = this.suspects.recordCrash(
      fingerprint(model, body),
      body.length,
      wasAlone,
      this.clock.nowMs(),
    );
    this.tell(update);
  }

  /** Takes the whole answer of a request that ran alone. */
  noteSuccess({model, body}: SuspectSubject): void {
    const update = this.suspects.recordSuccess(
      fingerprint(model, body),
      body.length,
    );
    if (update !== undefined) this.tell(update);
  }

  /** Applies an update from a peer; an unknown crash status is dropped. */
  takeNews(name: string, bodyBytes: number, verdict: string): void {
    if (!CRASH_STATUSES.has(verdict)) return;
    this.suspects.applyUpdate(
      {fingerprint: name, bodyBytes, verdict: verdict as CrashStatus},
      this.clock.nowMs(),
    );
  }
}

function fingerprint(model: string, body: Buffer): string {
  return createHash('sha256').update(`${model}\n`).update(body).digest('hex');
}
