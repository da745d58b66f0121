import type {MemoryKind} from './memory_kind.js';

/** What one request takes of a host's memory. Only `MemoryBudget` changes it. */
export interface MemoryAccount {
  readonly kind: MemoryKind;
  /** Address of the caller, without its port. */
  readonly address: string;
  heldBytes: number;
  /** Bytes that are asked for and not granted yet; zero if there are none. */
  wantedBytes: number;
  /** Time from which it waits for those bytes. */
  waitsSinceMs: number;
  /** Time of the last bytes that came or went. */
  progressAtMs: number;
  /** Whether the host still waits for the caller to send or to read. */
  awaitsCaller: boolean;
}
