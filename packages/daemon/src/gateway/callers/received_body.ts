import {
  BodyBuffer,
  MemoryKind,
  type MemoryAccount,
} from '@parsleywood/forwarding';
import type {HostMemory} from '../../host/host_memory.js';
import type {MemoryListener} from '../../host/memory_listener.js';

/** Bytes that a body of unknown length takes at once. */
const STEP_BYTES = 16_384;

/** The body of one request, with what it takes of the host's memory. */
export class ReceivedBody {
  private readonly buffer: BodyBuffer;
  private readonly account: MemoryAccount;
  private users = 1;

  /** @param expectedBytes Length of the body; zero if it is not known. */
  constructor(
    private readonly memory: HostMemory,
    address: string,
    private readonly expectedBytes: number,
    listener: MemoryListener,
  ) {
    this.buffer = new BodyBuffer(expectedBytes);
    this.account = memory.open(MemoryKind.BODY, address, listener);
  }

  get length(): number {
    return this.buffer.length;
  }

  /** The bytes, which are valid until `release`. */
  get bytes(): Buffer {
    return this.buffer.read();
  }

  /**
   * Makes room for more. @return Whether there is room; if not, the listener is
   * called.
   */
  reserve(bytes: number): boolean {
    const {account, memory, expectedBytes, length} = this;
    const neededBytes = Math.max(length + bytes, expectedBytes);
    if (neededBytes <= account.heldBytes) return true;
    const grownBytes = neededBytes - account.heldBytes;
    // Longer bodies grow by longer steps, as the buffer does.
    const stepBytes = Math.max(STEP_BYTES, length);
    return memory.want(
      account,
      expectedBytes > 0 ? grownBytes : Math.max(grownBytes, stepBytes),
    );
  }

  append(piece: Buffer): void {
    this.buffer.append(piece);
    this.memory.recordProgress(this.account);
  }

  /** Records that the body is whole, so that its caller is not waited for. */
  complete(): void {
    this.account.awaitsCaller = false;
  }

  /** Keeps the bytes for a further user, who releases them as well. */
  retain(): void {
    this.users++;
  }

  release(): void {
    if (--this.users > 0) return;
    this.buffer.release();
    this.memory.close(this.account);
  }
}
