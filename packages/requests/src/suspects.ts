import type {SuspectNews} from './suspect_news.js';
import type {SuspectRecord} from './suspect_record.js';
import {Verdict} from './verdict.js';

const FORGET_AFTER_MS = 3_600_000;
const MAX_RECORDS = 4_096;

/**
 * Holds which requests crashed upstreams. One request crashes two upstreams at
 * most: after the first crash it runs beside no other suspect, so a second
 * crash there tells it from its neighbours and ends it for good.
 */
export class Suspects {
  private readonly records = new Map<string, SuspectRecord>();
  /** Number of records by length of the body. */
  private readonly lengths = new Map<number, number>();

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Judges a request.
   *
   * @param fingerprint Computes the fingerprint; called only when a record has
   *     a body of the same length.
   */
  judge(bodyBytes: number, fingerprint: () => string, nowMs: number): Verdict {
    if (!this.lengths.has(bodyBytes)) return Verdict.CLEAR;
    const record = this.records.get(fingerprint());
    if (record === undefined) return Verdict.CLEAR;
    if (record.expiresAtMs > nowMs) return record.verdict;
    this.forget(record.fingerprint);
    return Verdict.CLEAR;
  }

  /**
   * Takes the crash of an upstream on which a request ran.
   *
   * @param wasAlone Whether it ran there as the only suspect.
   * @return What to tell peers.
   */
  takeCrash(
    fingerprint: string,
    bodyBytes: number,
    wasAlone: boolean,
    nowMs: number,
  ): SuspectNews {
    const before = this.records.get(fingerprint)?.verdict;
    const verdict =
      wasAlone || before === Verdict.CONDEMNED
        ? Verdict.CONDEMNED
        : Verdict.SUSPECT;
    return this.hold({fingerprint, bodyBytes, verdict}, nowMs);
  }

  /** Takes the whole answer of a suspect that ran alone: it is cleared. */
  takeSuccess(fingerprint: string, bodyBytes: number): SuspectNews | undefined {
    if (this.records.get(fingerprint)?.verdict !== Verdict.SUSPECT) {
      return undefined;
    }
    this.forget(fingerprint);
    return {fingerprint, bodyBytes, verdict: Verdict.CLEAR};
  }

  /** Takes a peer's news; a condemned request stays so until it is forgotten. */
  takeNews(news: SuspectNews, nowMs: number): void {
    const {fingerprint, verdict} = news;
    const before = this.records.get(fingerprint)?.verdict;
    if (before === Verdict.CONDEMNED) return;
    if (verdict === Verdict.CLEAR) this.forget(fingerprint);
    else this.hold({...news, verdict}, nowMs);
  }

  private hold(
    held: Omit<SuspectRecord, 'expiresAtMs'>,
    nowMs: number,
  ): SuspectNews {
    this.forget(held.fingerprint);
    if (this.records.size >= MAX_RECORDS) this.forgetOldest();
    const record = {...held, expiresAtMs: nowMs + FORGET_AFTER_MS};
    this.records.set(held.fingerprint, record);
    const {bodyBytes} = held;
    this.lengths.set(bodyBytes, (this.lengths.get(bodyBytes) ?? 0) + 1);
    return held;
  }

  private forgetOldest(): void {
    for (const fingerprint of this.records.keys()) {
      this.forget(fingerprint);
      return;
    }
  }

  private forget(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    this.records.delete(fingerprint);
    const count = (this.lengths.get(record.bodyBytes) ?? 1) - 1;
    if (count > 0) this.lengths.set(record.bodyBytes, count);
    else this.lengths.delete(record.bodyBytes);
  }
}
