import type {MemoryAccount} from '@parsleywood/forwarding';
import type {MemoryEnd} from './memory_end.js';

/** Hears what a host does to stay within its memory and descriptors. */
export interface MemoryObserver {
  /** A request is about to be ended. */
  onEnded(account: MemoryAccount, end: MemoryEnd): void;
  /** A connection is closed as too many are open. */
  onConnectionClosed(address: string): void;
  /** Unused memory was freed. */
  onCollected(freedMb: number, tookMs: number): void;
}
