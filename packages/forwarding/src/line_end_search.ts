const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Finds the line feeds and carriage returns of a chunk in turn. No byte is looked at more
 * than twice, also where one of the two is missing.
 */
export class LineEndSearch {
  private lineFeed = -1;
  private carriageReturn = -1;

  constructor(private readonly chunk: Buffer) {}

  /**
   * @param from At least the one of the call before.
   * @return Place of the next one; the length of the chunk if there is none.
   */
  find(from: number): number {
    if (this.lineFeed < from) {
      this.lineFeed = findByte(this.chunk, LINE_FEED, from);
    }
    if (this.carriageReturn < from) {
      this.carriageReturn = findByte(this.chunk, CARRIAGE_RETURN, from);
    }
    return Math.min(this.lineFeed, this.carriageReturn);
  }
}

function findByte(chunk: Buffer, byte: number, from: number): number {
  const at = chunk.indexOf(byte, from);
  return at < 0 ? chunk.length : at;
}
