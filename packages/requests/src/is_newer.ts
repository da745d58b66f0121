import {BLOCK_TIMES_MS} from './block_times.js';
import type {SuspectRecord} from './suspect_record.js';
import type {SuspectUpdate} from './suspect_update.js';

const FINAL_BLOCK = BLOCK_TIMES_MS.length;

/** Orders what hosts know, so that all of them come to the same record. */
export function isNewer(update: SuspectUpdate, record: SuspectRecord): boolean {
  const isFinal = update.blocks === FINAL_BLOCK;
  const hasTraits = update.traits.length > 0;
  if (!hasTraits && isFinal !== (record.blocks === FINAL_BLOCK)) return isFinal;
  if (update.generation !== record.generation) {
    return update.generation > record.generation;
  }
  if (update.crashes !== record.crashes) return update.crashes > record.crashes;
  return update.blocks > record.blocks;
}
