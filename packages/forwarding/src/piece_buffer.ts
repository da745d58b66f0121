import {PageMemory} from './page_memory.js';

const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;
/** Blocks of this size on are freed as soon as their bytes are taken. */
const PAGE_BLOCK_BYTES = 16_384;

/**
 * Bytes that arrive in pieces. They are copied into blocks, as a small piece that is
 * kept costs many times its size.
 */
export class PieceBuffer {
  private blocks: Buffer[] = [];
  private pages: PageMemory[] = [];
  /** Bytes in use of the last block. */
  private used = 0;
  private bytes = 0;

  /** Number of bytes. */
  get length(): number {
    return this.bytes;
  }

  append(piece: Buffer): void {
    let rest = piece;
    while (rest.length > 0) {
      const block = this.findBlock(rest.length);
      const copied = rest.copy(block, this.used);
      this.used += copied;
      this.bytes += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Returns all bytes in one piece. */
  join(): Buffer {
    if (this.bytes < PAGE_BLOCK_BYTES) {
      return Buffer.concat(this.blocks, this.bytes);
    }
    const {bytes: all} = new PageMemory(this.bytes);
    let copied = 0;
    for (const block of this.blocks) {
      copied += block.copy(all, copied, 0, this.bytes - copied);
    }
    return all;
  }

  /** Returns all bytes in one piece, and forgets them. */
  take(): Buffer {
    const all = this.join();
    this.clear();
    return all;
  }

  clear(): void {
    for (const memory of this.pages) memory.release();
    this.pages = [];
    this.blocks = [];
    this.used = 0;
    this.bytes = 0;
  }

  private allocate(size: number): Buffer {
    if (size < PAGE_BLOCK_BYTES) return Buffer.allocUnsafeSlow(size);
    const memory = new PageMemory(size);
    this.pages.push(memory);
    return memory.bytes;
  }

  /** Returns a block with room for at least one byte. */
  private findBlock(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.used < last.length) return last;
    const size = Math.max(
      FIRST_BLOCK_BYTES,
      Math.min(MAX_BLOCK_BYTES, Math.max(neededBytes, this.bytes)),
    );
    const block = this.allocate(size);
    this.blocks.push(block);
    this.used = 0;
    return block;
  }
}
