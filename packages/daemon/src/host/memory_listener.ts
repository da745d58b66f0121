import type {MemoryEnd} from './memory_end.js';

/** Hears what becomes of an account of a host's memory. */
export interface MemoryListener {
  /** The bytes that were waited for are granted. */
  onGranted(): void;
  /** The request is to be ended; its account is closed already. */
  onEnded(end: MemoryEnd): void;
}
