import {BLOCK_TIMES_MS} from './block_times.js';
import type {CrashBlock} from './crash_block.js';
import type {SuspectRecord} from './suspect_record.js';

/** Describes the block that a record tells of. */
export function describeBlock(
  record: SuspectRecord,
  nowMs: number,
  trialDelayMs: number,
): CrashBlock {
  const {fingerprint, traits, crashes, blocks, blockedUntilMs} = record;
  const remainingMs = blockedUntilMs + trialDelayMs - nowMs;
  const isFinal = blocks === BLOCK_TIMES_MS.length;
  return {fingerprint, traits, crashes, remainingMs, isFinal};
}
