import {createHash} from 'node:crypto';
import {Suspects, Verdict, type SuspectNews} from '@parsleywood/requests';
import type {Clock} from '../host/clock.js';
import type {SuspectSubject} from './suspect_subject.js';

const VERDICTS = new Set<string>(Object.values(Verdict));

/** Judges requests by what they did to upstreams, here and at the peers. */
export class SuspectDesk {
  private readonly suspects = new Suspects();

  /** @param broadcast Tells every peer. */
  constructor(
    private readonly clock: Clock,
    private readonly broadcast: (news: SuspectNews) => void,
  ) {}

  judge({model, body}: SuspectSubject): Verdict {
    return this.suspects.judge(
      body.length,
      () => computeFingerprint(model, body),
      this.clock.nowMs(),
    );
  }

  /** Takes the crash of an engine on which a request ran. */
  noteCrash({model, body}: SuspectSubject, wasIsolated: boolean): void {
    const update = this.suspects.takeCrash(
      computeFingerprint(model, body),
      body.length,
      wasIsolated,
      this.clock.nowMs(),
    );
    this.broadcast(update);
  }

  /** Takes the whole answer of a request that ran alone. */
  noteSuccess({model, body}: SuspectSubject): void {
    const update = this.suspects.takeSuccess(
      computeFingerprint(model, body),
      body.length,
    );
    if (update !== undefined) this.broadcast(update);
  }

  /** Takes a peer's news; a verdict that is not known here is dropped. */
  takeNews(name: string, bodyBytes: number, verdict: string): void {
    if (!VERDICTS.has(verdict)) return;
    this.suspects.takeNews(
      {fingerprint: name, bodyBytes, verdict: verdict as Verdict},
      this.clock.nowMs(),
    );
  }
}

function computeFingerprint(model: string, body: Buffer): string {
  return createHash('sha256').update(`${model}\n`).update(body).digest('hex');
}
