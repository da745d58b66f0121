import type {ReadBudget} from '@parsleywood/forwarding';
import type {Clock} from './clock.js';

/** Pieces after which other connections get their turn. */
const MAX_PIECES = 256;
/** Bytes that cost as much as a piece. */
const BYTES_PER_PIECE = 1_024;

/** Measures what one connection brings, and stops it while others are read. */
export class ReadMeter {
  private pieces = 0;
  private bytes = 0;
  private isWaiting = false;

  /**
   * @param turnBytes Bytes after which other connections get their turn.
   * @param onContinue Called when the connection may be read again.
   */
  constructor(
    private readonly turnBytes: number,
    private readonly budget: ReadBudget,
    private readonly clock: Clock,
    private readonly onContinue: () => void,
  ) {}

  /** Whether the connection may be read; if not, `onContinue` follows. */
  mayRead(): boolean {
    const {pieces, bytes} = this;
    if (pieces >= MAX_PIECES || bytes >= this.turnBytes) this.wait();
    return !this.isWaiting;
  }

  record(pieces: number): void {
    this.pieces += pieces;
  }

  recordBytes(bytes: number): void {
    this.bytes += bytes;
  }

  private wait(): void {
    if (this.isWaiting) return;
    this.isWaiting = true;
    const spent = this.pieces + this.bytes / BYTES_PER_PIECE;
    this.pieces = 0;
    this.bytes = 0;
    const waitMs = this.budget.spend(spent, this.clock.nowMs());
    const end = (): void => {
      this.isWaiting = false;
      this.onContinue();
    };
    if (waitMs < 1) setImmediate(end);
    else setTimeout(end, waitMs);
  }
}
