/** Longest plain answer, in bytes: it is checked whole before it is passed on. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Body of an answer that is no stream, kept until it is whole. */
export class PlainAnswer {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  /** Why the answer is given up; undefined while it is not too long. */
  get fault(): string | undefined {
    if (this.bytes <= MAX_ANSWER_BYTES) return undefined;
    return `answer longer than ${MAX_ANSWER_BYTES} bytes`;
  }

  take(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
  }

  join(): Buffer {
    return Buffer.concat(this.chunks);
  }
}
