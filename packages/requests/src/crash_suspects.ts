import {CrashStatus} from './crash_status.js';
import type {SuspectRecord} from './suspect_record.js';
import type {SuspectUpdate} from './suspect_update.js';

const RECORD_TTL_MS = 3_600_000;
const MAX_RECORDS = 4_096;

/**
 * Records which requests crashed upstreams, so that one request crashes at most
 * two. A crash makes every request that ran there a suspect. Suspects run on an
 * upstream without other suspects, so a second crash identifies the cause,
 * which is then rejected.
 */
export class CrashSuspects {
  private readonly records = new Map<string, SuspectRecord>();
  /** Number of records for each body length. */
  private readonly countByBodyBytes = new Map<number, number>();

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
    if (!this.countByBodyBytes.has(bodyBytes)) return CrashStatus.CLEAR;
    const record = this.records.get(computeFingerprint());
    if (record === undefined) return CrashStatus.CLEAR;
    if (record.expiresAtMs > nowMs) return record.verdict;
    this.deleteRecord(record.fingerprint);
    return CrashStatus.CLEAR;
  }

  /**
   * Records the crash of an upstream that was running a request.
   *
   * @param wasIsolated Whether the request was the only suspect on it.
   * @return Update to send to the peers.
   */
  recordCrash(
    fingerprint: string,
    bodyBytes: number,
    wasIsolated: boolean,
    nowMs: number,
  ): SuspectUpdate {
    const before = this.records.get(fingerprint)?.verdict;
    const verdict =
      wasIsolated || before === CrashStatus.BLOCKED
        ? CrashStatus.BLOCKED
        : CrashStatus.SUSPECT;
    return this.store({fingerprint, bodyBytes, verdict}, nowMs);
  }

  /**
   * Clears a suspect that ran without other suspects and completed its answer.
   */
  recordSuccess(
    fingerprint: string,
    bodyBytes: number,
  ): SuspectUpdate | undefined {
    if (this.records.get(fingerprint)?.verdict !== CrashStatus.SUSPECT) {
      return undefined;
    }
    this.deleteRecord(fingerprint);
    return {fingerprint, bodyBytes, verdict: CrashStatus.CLEAR};
  }

  /**
   * Applies an update from a peer. A blocked request stays blocked until
   * its record expires.
   */
  applyUpdate(update: SuspectUpdate, nowMs: number): void {
    const {fingerprint, verdict} = update;
    const before = this.records.get(fingerprint)?.verdict;
    if (before === CrashStatus.BLOCKED) return;
    if (verdict === CrashStatus.CLEAR) this.deleteRecord(fingerprint);
    else this.store({...update, verdict}, nowMs);
  }

  private store(
    suspect: Omit<SuspectRecord, 'expiresAtMs'>,
    nowMs: number,
  ): SuspectUpdate {
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
