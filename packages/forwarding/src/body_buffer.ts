import {PageMemory} from './page_memory.js';

const FIRST_BYTES = 16_384;
const GROWTH_FACTOR = 4;

/**
 * Bytes of a body that arrive in pieces. They lie in one piece, and their memory is
 * freed by `release`.
 */
export class BodyBuffer {
  private memory: PageMemory | undefined;
  private view: Buffer = Buffer.alloc(0);
  private bytes = 0;

  /** @param expectedBytes Length of the body, if it is known; zero if not. */
  constructor(private readonly expectedBytes: number) {}

  get length(): number {
    return this.bytes;
  }

  append(piece: Buffer): void {
    const needed = this.bytes + piece.length;
    if (needed > this.view.length) this.grow(needed);
    piece.copy(this.view, this.bytes);
    this.bytes = needed;
  }

  /** Returns the bytes, which are valid until `release`. */
  read(): Buffer {
    return this.view.subarray(0, this.bytes);
  }

  /** Frees the memory. What was read from here has no bytes any more. */
  release(): void {
    const {memory} = this;
    this.memory = undefined;
    this.view = Buffer.alloc(0);
    this.bytes = 0;
    memory?.release();
  }

  private grow(needed: number): void {
    const grown = Math.max(
      needed,
      FIRST_BYTES,
      this.view.length * GROWTH_FACTOR,
    );
    const size = Math.max(needed, Math.min(grown, this.expectedBytes || grown));
    const {memory, view, bytes} = this;
    if (size < FIRST_BYTES) {
      this.view = Buffer.allocUnsafeSlow(size);
    } else {
      this.memory = new PageMemory(size);
      this.view = this.memory.bytes;
    }
    view.copy(this.view, 0, 0, bytes);
    memory?.release();
  }
}
