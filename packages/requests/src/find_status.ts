import {CrashStatus} from './crash_status.js';
import type {SuspectRecord} from './suspect_record.js';

/** Returns what a record says of its requests at a time. */
export function findStatus(
  {blocks, blockedUntilMs, crashes}: SuspectRecord,
  nowMs: number,
): CrashStatus {
  if (blocks > 0 && nowMs < blockedUntilMs) return CrashStatus.BLOCKED;
  return crashes > 0 ? CrashStatus.SUSPECT : CrashStatus.CLEAR;
}
