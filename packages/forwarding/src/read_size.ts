/** Bytes amid pieces of common length. */
const COMMON_BYTES = 512;
const MAX_BYTES = 4_096;
/** Bytes amid short lines. */
const MIN_BYTES = 64;
/** Mean length of a short line, in bytes. */
const SHORT_LINE_BYTES = 16;

/**
 * Chooses how many bytes of a connection a parser gets at once, as it handles all pieces
 * in them before anything else. Load pattern: large bodies in large pieces, beside pieces
 * of a few bytes as fast as they are read.
 */
export class ReadSize {
  private size = COMMON_BYTES;

  /** Bytes that the parser gets next. */
  get bytes(): number {
    return this.size;
  }

  /**
   * Records what the parser got.
   *
   * @param pieces Pieces that it found there.
   */
  recordPieces(bytes: number, pieces: number): void {
    const isLarge = bytes >= pieces * COMMON_BYTES;
    this.size = isLarge
      ? Math.min(Math.max(2 * this.size, COMMON_BYTES), MAX_BYTES)
      : COMMON_BYTES;
  }

  /**
   * Records what the parser got and told nothing of: a head, trailers or framing.
   *
   * @param lines Lines that end there.
   */
  recordLines(bytes: number, lines: number): void {
    const isShort = bytes < lines * SHORT_LINE_BYTES;
    this.size = isShort ? MIN_BYTES : COMMON_BYTES;
  }
}
