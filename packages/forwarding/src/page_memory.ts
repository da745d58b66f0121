/**
 * Memory outside the heap that is freed at once by `release`, and whose pages go back
 * to the system. Buffers that only the garbage collector frees stay for many seconds,
 * and the allocator keeps parts of them for good.
 */
export class PageMemory {
  readonly bytes: Buffer;
  private readonly memory: ArrayBuffer;

  constructor(size: number) {
    this.memory = new RESIZABLE_BUFFER(size, {maxByteLength: size});
    this.bytes = Buffer.from(this.memory, 0, size);
  }

  /** Frees the memory. All buffers that refer to it have no bytes any more. */
  release(): void {
    (this.memory as unknown as {resize: (bytes: number) => void}).resize(0);
  }
}

/** `ArrayBuffer` with what ES2024 adds and the types of older libraries lack. */
const RESIZABLE_BUFFER = ArrayBuffer as unknown as new (
  bytes: number,
  options: {maxByteLength: number},
) => ArrayBuffer;
