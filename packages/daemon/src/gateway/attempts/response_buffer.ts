import {PieceBuffer, type BufferBudget} from '@parsleywood/forwarding';

/** Buffers a response that is not streamed until it is complete. */
export class ResponseBuffer {
  private readonly received = new PieceBuffer();
  private hasRoom = true;

  constructor(private readonly budget: BufferBudget) {}

  /** Set when the response is too large. */
  get fault(): string | undefined {
    return this.hasRoom ? undefined : 'response too large to be kept';
  }

  append(chunk: Buffer): void {
    if (!this.hasRoom) return;
    this.hasRoom = this.budget.take(chunk.length, this.received.length);
    if (this.hasRoom) this.received.append(chunk);
  }

  join(): Buffer {
    return this.received.join();
  }

  /** Gives up what was received. */
  discard(): void {
    this.budget.give(this.received.length);
    this.received.clear();
  }
}
