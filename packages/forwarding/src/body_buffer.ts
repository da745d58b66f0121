const FIRST_BYTES = 16_384;
const GROWTH_FACTOR = 4;

/**
 * Bytes of a body that arrive in pieces. They lie in one piece, and their memory is
 * freed by `release`: buffers that only the garbage collector frees stay for many
 * seconds, as little else on the heap makes it run.
 */
export class BodyBuffer {
  private memory: ArrayBuffer | undefined;
  private view = Buffer.alloc(0);
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
    if (memory !== undefined) resize(memory, 0);
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
      this.memory = new RESIZABLE_BUFFER(size, {maxByteLength: size});
      this.view = Buffer.from(this.memory, 0, size);
    }
    view.copy(this.view, 0, 0, bytes);
    if (memory !== undefined) resize(memory, 0);
  }
}

/** `ArrayBuffer` with what ES2024 adds and the types of older libraries lack. */
const RESIZABLE_BUFFER = ArrayBuffer as unknown as new (
  bytes: number,
  options: {maxByteLength: number},
) => ArrayBuffer;

function resize(memory: ArrayBuffer, bytes: number): void {
  (memory as unknown as {resize: (bytes: number) => void}).resize(bytes);
}
