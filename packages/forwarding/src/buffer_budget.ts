import type {MemoryAccount} from './memory_account.js';
import {MemoryBudget} from './memory_budget.js';
import {MemoryKind} from './memory_kind.js';

/** Memory of a host where the settings name none, in MB. */
const DEFAULT_MEMORY_MB = 512;
/** Bytes that the responses of a host may take together until they are complete. */
const MAX_BYTES = 16_777_216;
/** Bytes that a response may take whatever others do. */
const FREE_BYTES = 65_536;

/**
 * Bounds what a host keeps of responses that are passed on whole. Load pattern: several
 * responses without end at once, beside many short ones.
 */
export class BufferBudget {
  private readonly account: MemoryAccount;
  private readonly maxBytes: number;

  constructor(private readonly memory = new MemoryBudget(DEFAULT_MEMORY_MB)) {
    this.account = memory.open(MemoryKind.ANSWER, '', 0);
    this.account.awaitsCaller = false;
    this.maxBytes = Math.min(MAX_BYTES, memory.getMaxBytes(MemoryKind.ANSWER));
  }

  /**
   * Takes room for more of a response.
   *
   * @param heldBytes What the response takes already.
   * @return Whether there was room.
   */
  take(bytes: number, heldBytes: number): boolean {
    const {account, memory} = this;
    const isFree = heldBytes + bytes <= FREE_BYTES;
    // What is not read yet takes the same memory.
    const takenBytes =
      account.heldBytes + memory.getExcessBytes(MemoryKind.UNSENT);
    if (!isFree && takenBytes + bytes > this.maxBytes) return false;
    memory.record(account, bytes, 0);
    return true;
  }

  give(bytes: number): void {
    this.memory.give(this.account, bytes, 0);
  }
}
