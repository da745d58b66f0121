/** Pieces after which a turn is over. */
const MAX_PIECES = 256;
/** Bytes that cost as much as a piece. */
const BYTES_PER_PIECE = 1_024;

/**
 * Counts what one connection brings until others get their turn. Load pattern: up to
 * 2 MB that arrived in pieces of a few bytes, before Node.js reads other connections.
 */
export class ReadTurn {
  private pieces = 0;
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  get isOver(): boolean {
    return this.pieces >= MAX_PIECES || this.bytes >= this.maxBytes;
  }

  recordPieces(pieces: number): void {
    this.pieces += pieces;
  }

  recordBytes(bytes: number): void {
    this.bytes += bytes;
  }

  /** @return Cost of what was read, in pieces. */
  end(): number {
    const cost = this.pieces + this.bytes / BYTES_PER_PIECE;
    this.pieces = 0;
    this.bytes = 0;
    return cost;
  }
}
