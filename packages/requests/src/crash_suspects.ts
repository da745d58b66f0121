import type {SuspectNews} from './suspect_update.js';
import type {SuspectRecord} from './suspect_record.js';
import {Verdict} from './crash_status.js';

const RECORD_TTL_MS = 3_600_000;
const MAX_RECORDS = 4_096;

/**
 * Records which requests crashed upstreams, so that one request crashes at most
 * two. A crash makes every request that ran there a suspect. Suspects run on an
 * upstream without other suspects, so a second crash identifies the cause,
 * which is then rejected.
 */
export class Suspects {
  private readonly records = new Map<string, SuspectRecord>();
  /** Number of records for each body length. */
  private readonly countByBodyBytes = new Map<number, number>();

  /** Number of records, including expired ones that are not yet deleted. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Returns the verdict on a request.
   *
   * @param computeFingerprint Called only when a record has the same body
   *     length.
   */
  judge(
    bodyBytes: number,
    computeFingerprint: () => string,
    nowMs: number,
  ): Verdict {
    if (!this.countByBodyBytes.has(bodyBytes)) return Verdict.CLEAR;
    const record = this.records.get(computeFingerprint());
    if (record === undefined) return Verdict.CLEAR;
    if (record.expiresAtMs > nowMs) return record.verdict;
    this.deleteRecord(record.fingerprint);
    return Verdict.CLEAR;
  }

  /**
   * Records the crash of an upstream that was running a request.
   *
   * @param wasIsolated Whether the request was the only suspect on it.
   * @return Update to send to the peers.
   */
  takeCrash(
    fingerprint: string,
    bodyBytes: number,
    wasIsolated: boolean,
    nowMs: number,
  ): SuspectNews {
    const before = this.records.get(fingerprint)?.verdict;
    const verdict =
      wasIsolated || before === Verdict.CONDEMNED
        ? Verdict.CONDEMNED
        : Verdict.SUSPECT;
    return this.store({fingerprint, bodyBytes, verdict}, nowMs);
  }

  /**
   * Clears a suspect that ran without other suspects and completed its answer.
   */
  takeSuccess(fingerprint: string, bodyBytes: number): SuspectNews | undefined {
    if (this.records.get(fingerprint)?.verdict !== Verdict.SUSPECT) {
      return undefined;
    }
    this.deleteRecord(fingerprint);
    return {fingerprint, bodyBytes, verdict: Verdict.CLEAR};
  }

  /**
   * Applies an update from a peer. A condemned request stays condemned until
   * its record expires.
   */
  takeNews(update: SuspectNews, nowMs: number): void {
    const {fingerprint, verdict} = update;
    const before = this.records.get(fingerprint)?.verdict;
    if (before === Verdict.CONDEMNED) return;
    if (verdict === Verdict.CLEAR) this.deleteRecord(fingerprint);
    else this.store({...update, verdict}, nowMs);
  }

  private store(
    suspect: Omit<SuspectRecord, 'expiresAtMs'>,
    nowMs: number,
  ): SuspectNews {
    this.deleteRecord(suspect.fingerprint);
    if (this.records.size >= MAX_RECORDS) this.evictOldest();
    const record = {...suspect, expiresAtMs: nowMs + RECORD_TTL_MS};
    this.records.set(suspect.fingerprint, record);
    const {bodyBytes} = suspect;
    this.countByBodyBytes.set(
      bodyBytes,
      (this.countByBodyBytes.get(bodyBytes) ?? 0) + 1,
    );
    return suspect;
  }

  private evictOldest(): void {
    for (const fingerprint of this.records.keys()) {
      this.deleteRecord(fingerprint);
      return;
    }
  }

  private deleteRecord(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    this.records.delete(fingerprint);
    const count = (this.countByBodyBytes.get(record.bodyBytes) ?? 1) - 1;
    if (count > 0) this.countByBodyBytes.set(record.bodyBytes, count);
    else this.countByBodyBytes.delete(record.bodyBytes);
  }
}
